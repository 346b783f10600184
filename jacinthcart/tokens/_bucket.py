"""Token bucket for rate limiting."""

from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics


class TokenBucket:
    """Token bucket that refills at `rate` tokens per second up to `capacity`.

    It starts empty by default, because a previous process with the same
    roster entry may have spent all tokens of its share of the limit.
    """

    def __init__(
        self,
        rate: float,
        capacity: float,
        clock: Clock,
        metrics: Metrics,
        *,
        level: float = 0.0,
    ) -> None:
        """Create a bucket with `level` tokens, at most `capacity`."""
        self._rate = rate
        self._capacity = capacity
        self._clock = clock
        self._metrics = metrics
        self._level = min(level, capacity)
        self._updated_at = clock()

    @property
    def rate(self) -> float:
        """Tokens added per second."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Maximum number of tokens in the bucket."""
        return self._capacity

    @property
    def level(self) -> float:
        """Current number of tokens in the bucket."""
        self._refill(self._clock())
        return self._level

    def configure(self, rate: float, capacity: float, at: float) -> None:
        """Change rate and capacity from the clock time `at` on.

        Tokens above the new capacity are dropped at the next use. `at` must
        be a time from the last use of the bucket up to now.
        """
        self._refill(at)
        self._rate = rate
        self._capacity = capacity

    def take(self, count: int) -> int:
        """Remove up to `count` whole tokens; return the number removed."""
        self._refill(self._clock())
        held = self._level
        granted = max(0, min(count, int(held)))
        self._level = held - granted
        self._metrics.check(
            'bucket_grants_what_it_held',
            granted <= held,
            f'granted {granted} of {held}',
        )
        return granted

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        filled = self._level + elapsed_s * self._rate
        self._level = min(filled, self._capacity)
        self._metrics.check(
            'bucket_within_capacity',
            0 <= self._level <= self._capacity,
            f'level {self._level}, capacity {self._capacity}',
        )
