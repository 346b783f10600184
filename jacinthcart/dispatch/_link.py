"""Slots, queue and observed latency of one searcher on this VM."""

from collections.abc import Callable

import anyio

from jacinthcart.dispatch._client import BaseSearcherClient
from jacinthcart.dispatch._queue import FairQueue, Flow, Waiter
from jacinthcart.dispatch._replicas import Replica
from jacinthcart.program import Clock

#: Weight of the newest latency in the exponential moving average.
_EWMA_WEIGHT = 0.2


class SearcherLink:
    """Grants slots to waiting requests in fair-queueing order.

    A slot is granted only while fewer requests are in flight than the
    allowance. While the allowance is 0, every waiting request is rejected.
    """

    def __init__(
        self,
        replica: Replica,
        client: BaseSearcherClient,
        compute_allowance: Callable[[Replica], int],
        clock: Clock,
    ) -> None:
        """Start without requests in flight."""
        self.replica = replica
        self.client = client
        self.in_flight = 0
        #: Moving average of the latency in seconds; None before the first
        #: measurement.
        self.latency_s: float | None = None
        #: Load that the searcher reported last.
        self.load = 0.0
        #: Time of the latest latency measurement.
        self.latency_at = 0.0
        #: Time until which the link is used only when no other is left.
        self.failing_until = 0.0
        #: Time at which the latest probe was sent.
        self.probed_at: float | None = None
        #: Index versions that the searcher reported in its latest refusal of
        #: a version.
        self.versions: frozenset[int] = frozenset()
        self.queue = FairQueue()
        self._compute_allowance = compute_allowance
        self._clock = clock

    @property
    def allowance(self) -> int:
        """Maximum number of concurrent requests at present."""
        return self._compute_allowance(self.replica)

    @property
    def has_free_slot(self) -> bool:
        """Return whether a request would be granted a slot immediately."""
        return not self.queue and self.in_flight < self.allowance

    def estimate_wait_s(self, flow: Flow) -> float:
        """Return the expected wait of a new request in seconds."""
        if self.has_free_slot:
            return 0
        ahead = self.queue.count_ahead(flow) + 1
        return ahead * (self.latency_s or 0) / max(self.allowance, 1)

    async def acquire(
        self,
        flow: Flow,
        weight: float,
        deadline: float,
    ) -> bool:
        """Wait for a slot; return False on rejection or at the deadline."""
        waiter = self.queue.push(flow, weight)
        self.process_queue()
        is_acquired = False
        try:
            with anyio.move_on_after(deadline - self._clock()):
                await waiter.decided.wait()
                is_acquired = waiter.is_granted
        finally:
            if not is_acquired:
                self._remove_waiter(waiter)
        return is_acquired

    def release(self) -> None:
        """Release a slot and grant it to the next waiting request."""
        self.in_flight -= 1
        self.process_queue()

    def process_queue(self) -> None:
        """Grant free slots; reject all requests while the allowance is 0."""
        if not self.queue:
            return
        allowance = self.allowance
        while self.queue and (not allowance or self.in_flight < allowance):
            waiter = self.queue.pop()
            if waiter is None:
                return
            if allowance:
                waiter.is_granted = True
                self.in_flight += 1
            waiter.decided.set()

    def record_latency(self, seconds: float) -> None:
        """Add the latency of one request to the moving average."""
        previous_s = self.latency_s
        self.latency_at = self._clock()
        self.latency_s = (
            seconds
            if previous_s is None
            else previous_s + _EWMA_WEIGHT * (seconds - previous_s)
        )

    def _remove_waiter(self, waiter: Waiter) -> None:
        self.queue.remove(waiter)
        if waiter.is_granted:
            self.release()
