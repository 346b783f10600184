"""Permits: tokens that were debited from a bucket and expire."""

import bisect
import dataclasses

from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics


@dataclasses.dataclass(frozen=True)
class Permit:
    """Permission to admit one request."""

    #: Expiry time in seconds on the holder's clock.
    expires_at: float


@dataclasses.dataclass(frozen=True)
class Grant:
    """Permits of one workspace that were granted together."""

    #: Number of permits.
    count: int
    #: Time in seconds at which the earliest of them expires.
    expires_at: float

    def remaining_ms(self, now: float) -> float:
        """Return the remaining lifetime in milliseconds, at least 0."""
        return max(0.0, self.expires_at - now) * 1000


NO_GRANT = Grant(0, 0.0)


class PermitPool:
    """Unused permits, taken in the order of their expiry."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Create an empty pool."""
        self._clock = clock
        self._metrics = metrics
        self._batches: list[tuple[float, int]] = []

    def add(self, count: int, expires_at: float) -> None:
        """Add `count` permits that expire at `expires_at`."""
        if count > 0:
            bisect.insort(self._batches, (expires_at, count))

    def count_usable(self, margin_s: float = 0.0) -> int:
        """Return the number of permits valid for more than `margin_s`."""
        valid_after = self._clock() + margin_s
        return sum(
            count
            for expires_at, count in self._batches
            if expires_at > valid_after
        )

    def take(self, count: int, margin_s: float = 0.0) -> Grant:
        """Remove up to `count` permits valid for more than `margin_s`.

        The earliest expiry of the removed permits applies to all of them.
        """
        now = self._clock()
        self._discard(now + margin_s)
        taken = 0
        expires_at = self._batches[0][0] if self._batches else now
        while self._batches and taken < count:
            batch_expiry, available = self._batches.pop(0)
            used = min(available, count - taken)
            taken += used
            self.add(available - used, batch_expiry)
        if not taken:
            return NO_GRANT
        self._metrics.check(
            'expired_permit_not_granted',
            expires_at > now,
            f'expired at {expires_at}, now {now}',
        )
        return Grant(taken, expires_at)

    def _discard(self, valid_after: float) -> None:
        while self._batches and self._batches[0][0] <= valid_after:
            _, count = self._batches.pop(0)
            self._metrics.count('permits_expired', amount=count)
