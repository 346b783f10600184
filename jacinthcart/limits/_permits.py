"""Permits: tokens that have left a bucket and expire."""

import bisect
import dataclasses

from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics


@dataclasses.dataclass(frozen=True)
class Permit:
    """Permission to admit one request."""

    #: Time in seconds on the holder's clock from which it is void.
    expires_at: float


@dataclasses.dataclass(frozen=True)
class Grant:
    """Permits of one workspace that were handed out together."""

    #: Number of permits.
    count: int
    #: Time in seconds at which the first of them expires.
    expires_at: float

    def remaining_ms(self, now: float) -> float:
        """Return the lifetime left in milliseconds, at least 0."""
        return max(0.0, self.expires_at - now) * 1000


NO_GRANT = Grant(0, 0.0)


class PermitPool:
    """Permits that wait for use; the one that expires first is used first."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start empty."""
        self._clock = clock
        self._metrics = metrics
        self._batches: list[tuple[float, int]] = []

    def add(self, count: int, expires_at: float) -> None:
        """Keep `count` permits until `expires_at`."""
        if count > 0:
            bisect.insort(self._batches, (expires_at, count))

    def count_usable(self, margin_s: float = 0.0) -> int:
        """Return the permits that live longer than `margin_s` from now."""
        valid_after = self._clock() + margin_s
        return sum(
            count
            for expires_at, count in self._batches
            if expires_at > valid_after
        )

    def take(self, count: int, margin_s: float = 0.0) -> Grant:
        """Remove up to `count` permits that live longer than `margin_s`.

        The earliest expiry of the taken permits applies to all of them.
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
