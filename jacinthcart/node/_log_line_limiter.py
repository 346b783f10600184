"""Bounds the number of log lines a second."""

from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket


class LogLineLimiter:
    """Permits lines up to a rate, with a burst of one second."""

    def __init__(self, clock: Clock, per_s: float, metrics: Metrics) -> None:
        """Start with a full second's burst."""
        self._bucket = TokenBucket(per_s, per_s, clock, metrics, level=per_s)
        self._suppressed = 0

    def take(self) -> int | None:
        """Return the lines suppressed since the last permitted one.

        Return None when this line is suppressed too.
        """
        if not self._bucket.take(1):
            self._suppressed += 1
            return None
        suppressed = self._suppressed
        self._suppressed = 0
        return suppressed
