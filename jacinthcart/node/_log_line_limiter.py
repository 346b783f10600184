"""Rate limit for log lines."""

from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket


class LogLineLimiter:
    """Permits log lines up to a rate, with a burst of one second."""

    def __init__(self, clock: Clock, per_s: float, metrics: Metrics) -> None:
        """Start with a full burst."""
        self._bucket = TokenBucket(per_s, per_s, clock, metrics, level=per_s)
        self._suppressed = 0

    def try_acquire(self) -> int | None:
        """Request permission for one line.

        Return the number of lines suppressed since the last permitted one, or
        None if this line is to be suppressed too.
        """
        if not self._bucket.take(1):
            self._suppressed += 1
            return None
        suppressed = self._suppressed
        self._suppressed = 0
        return suppressed
