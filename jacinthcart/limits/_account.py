"""Permits and waiting requests of one workspace in the entry process."""

import collections
import math

import anyio

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.limits._demand import DemandMeter
from jacinthcart.limits._permits import Permit, PermitPool
from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics

#: Length in seconds of the intervals in which demand is measured.
_METER_INTERVAL_S = 0.05
#: Permits are prefetched when at most this fraction of the needed ones is left.
_REFILL_FRACTION = 0.5
#: Fraction of the last reported permit lifetime for which demand is prefetched.
_PREFETCH_LIFETIME_FRACTION = 0.5


class Waiter:
    """A request that waits until it is granted a permit or refused."""

    def __init__(self) -> None:
        """Create a waiter without a result."""
        self.decided = anyio.Event()
        self._permit: Permit | None = None
        self._refusal: RefusalError | None = None

    def grant(self, permit: Permit) -> None:
        """Complete the wait with a permit."""
        self._permit = permit
        self.decided.set()

    def refuse(self, refusal: RefusalError) -> None:
        """Complete the wait with a refusal."""
        self._refusal = refusal
        self.decided.set()

    def read_permit(self) -> Permit:
        """Return the permit; raise RefusalError if the request was refused."""
        if self._permit is None:
            refusal = self._refusal or RefusalError(RefusalCode.INTERNAL)
            # The refusal is shared by all waiters of a call. Raising a copy
            # keeps it from accumulating the tracebacks of all requests.
            raise RefusalError(
                refusal.code,
                refusal.ran,
                detail=refusal.detail,
                retry_after_ms=refusal.retry_after_ms,
            )
        return self._permit


class WorkspaceAccount:
    """Permits held for one workspace and the requests waiting for one."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Create an account without permits or waiters."""
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.pool = PermitPool(clock, metrics)
        self._meter = DemandMeter(_METER_INTERVAL_S, clock)
        self._lifetime_s = 0.0
        self._has_shortage = False

    def count_request(self) -> None:
        """Add one request to the measured demand."""
        self._meter.add(1)

    def take(self) -> Permit | None:
        """Remove and return a valid permit.

        Return None if the pool has no valid permit, or if earlier requests
        are waiting, because these are served first.
        """
        if self.waiters:
            return None
        return self._take_from_pool()

    def set_shortage(self, has_shortage: bool) -> None:
        """Store whether control granted fewer permits than requested.

        Prefetching is disabled during a shortage: prefetched permits could
        expire unused while requests elsewhere are refused.
        """
        self._has_shortage = has_shortage

    def add(self, count: int, expires_at: float, lifetime_s: float) -> None:
        """Store granted permits and serve waiting requests in FIFO order."""
        self._lifetime_s = lifetime_s
        self.pool.add(count, expires_at)
        while self.waiters:
            permit = self._take_from_pool()
            if permit is None:
                return
            self.waiters.popleft().grant(permit)

    def count_prefetch(self, batch_s: float) -> int:
        """Return the number of permits to prefetch.

        `batch_s` limits the time span in seconds whose expected demand is
        covered. The number is 0 during a shortage or if demand is not steady.
        """
        if self._has_shortage or not self._meter.is_steady():
            return 0
        horizon_s = min(batch_s, self._lifetime_s * _PREFETCH_LIFETIME_FRACTION)
        wanted = self._meter.predict() * horizon_s / _METER_INTERVAL_S
        usable = self.pool.count_usable()
        if usable > wanted * _REFILL_FRACTION:
            return 0
        return math.ceil(wanted) - usable

    def _take_from_pool(self) -> Permit | None:
        grant = self.pool.take(1)
        return Permit(grant.expires_at) if grant.count else None
