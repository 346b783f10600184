"""Entry's permits and waiting requests of one workspace."""

import collections
import math

import anyio

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.limits._demand import DemandMeter
from jacinthcart.limits._permits import Permit, PermitPool
from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics

#: Intervals in which demand counts as steady, in seconds.
_METER_INTERVAL_S = 0.05
#: More permits are asked for when less than this part is left.
_REFILL_SHARE = 0.5
#: Part of the last seen lifetime that demand is covered in advance for.
_LIFETIME_SHARE = 0.5


class Waiter:
    """One request that waits for a permit or a refusal."""

    def __init__(self) -> None:
        """Start undecided."""
        self.decided = anyio.Event()
        self._permit: Permit | None = None
        self._refusal: RefusalError | None = None

    def grant(self, permit: Permit) -> None:
        """Let the request go on."""
        self._permit = permit
        self.decided.set()

    def refuse(self, refusal: RefusalError) -> None:
        """Make the request fail."""
        self._refusal = refusal
        self.decided.set()

    def read_permit(self) -> Permit:
        """Return the permit; raise RefusalError when refused."""
        if self._permit is None:
            refusal = self._refusal or RefusalError(RefusalCode.INTERNAL)
            # Each request raises its own error: a shared one would collect
            # the tracebacks of all of them.
            raise RefusalError(
                refusal.code,
                refusal.ran,
                detail=refusal.detail,
                retry_after_ms=refusal.retry_after_ms,
            )
        return self._permit


class WorkspaceAccount:
    """Permits held for one workspace and the requests that lack one."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start empty."""
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.stock = PermitPool(clock, metrics)
        self._meter = DemandMeter(_METER_INTERVAL_S, clock)
        self._lifetime_s = 0.0
        self._is_short = False

    def count_request(self) -> None:
        """Count one request as demand."""
        self._meter.add(1)

    def take(self) -> Permit | None:
        """Return a valid permit unless others wait or none is held."""
        if self.waiters:
            return None
        return self._take_from_stock()

    def note_shortage(self, is_short: bool) -> None:
        """Keep whether control had fewer permits than asked for.

        Asking ahead in a shortage would let permits expire here that other
        requests lack.
        """
        self._is_short = is_short

    def add(self, count: int, expires_at: float, lifetime_s: float) -> None:
        """Keep granted permits and serve waiting requests in order."""
        self._lifetime_s = lifetime_s
        self.stock.add(count, expires_at)
        while self.waiters:
            permit = self._take_from_stock()
            if permit is None:
                return
            self.waiters.popleft().grant(permit)

    def count_ahead(self, batch_s: float) -> int:
        """Return permits to ask for in advance; 0 if demand is not steady."""
        if self._is_short or not self._meter.is_steady():
            return 0
        span_s = min(batch_s, self._lifetime_s * _LIFETIME_SHARE)
        wanted = self._meter.predict() * span_s / _METER_INTERVAL_S
        usable = self.stock.count_usable()
        if usable > wanted * _REFILL_SHARE:
            return 0
        return math.ceil(wanted) - usable

    def _take_from_stock(self) -> Permit | None:
        grant = self.stock.take(1)
        return Permit(grant.expires_at) if grant.count else None
