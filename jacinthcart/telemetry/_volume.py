"""Bounds the number of log lines a second."""

from collections.abc import Callable


class LineBudget:
    """Permits lines up to a rate, with a burst of one second."""

    def __init__(self, clock: Callable[[], float], per_s: float) -> None:
        """Start with a full second's burst."""
        self._clock = clock
        self._per_s = per_s
        self._tokens = per_s
        self._updated_at = clock()
        self._suppressed = 0

    def take(self) -> int | None:
        """Return the lines suppressed since the last permitted one.

        Return None when this line is suppressed too.
        """
        now = self._clock()
        earned = (now - self._updated_at) * self._per_s
        self._tokens = min(self._per_s, self._tokens + max(0.0, earned))
        self._updated_at = now
        if self._tokens < 1:
            self._suppressed += 1
            return None
        self._tokens -= 1
        suppressed = self._suppressed
        self._suppressed = 0
        return suppressed
