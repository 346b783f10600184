"""Start-time fair queueing (SFQ) of requests to one searcher."""

import dataclasses
import heapq
import itertools
import types

import anyio

from jacinthcart.settings import RequestClass

#: Queueing weight by request class; all are positive to avoid starvation.
CLASS_WEIGHTS = types.MappingProxyType(
    {
        RequestClass.PRIORITY: 8.0,
        RequestClass.ORDINARY: 3.0,
        RequestClass.BACKGROUND: 1.0,
    },
)

#: Workspace id and request class.
Flow = tuple[str, RequestClass]


@dataclasses.dataclass
class Waiter:
    """One request that waits for a searcher."""

    #: Workspace id and request class.
    flow: Flow
    #: Virtual time at which the request's service starts.
    start_tag: float
    #: Set when the request is granted a slot or rejected.
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    #: Whether the request holds a slot.
    is_granted: bool = False
    #: Whether the request has left the queue.
    is_removed: bool = False


class FairQueue:
    """Orders waiting requests by start tag.

    A flow is one workspace and request class. Each request advances its
    flow's virtual time by the inverse of the flow's weight, so a flow that
    floods the queue delays only its own requests.
    """

    def __init__(self) -> None:
        """Start without requests at virtual time 0."""
        self._heap: list[tuple[float, int, Waiter]] = []
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._finish_tag_by_flow: dict[Flow, float] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, flow: Flow, weight: float) -> Waiter:
        """Add a request; `weight` is its workspace's weight."""
        start_tag = self._compute_start_tag(flow)
        share = weight * CLASS_WEIGHTS[flow[1]]
        self._finish_tag_by_flow[flow] = start_tag + 1 / share
        waiter = Waiter(flow, start_tag)
        heapq.heappush(self._heap, (start_tag, next(self._sequence), waiter))
        self._length += 1
        return waiter

    def count_ahead(self, flow: Flow) -> int:
        """Return how many requests would precede a new one of `flow`."""
        start_tag = self._compute_start_tag(flow)
        return sum(
            not waiter.is_removed and tag <= start_tag
            for tag, _, waiter in self._heap
        )

    def pop(self) -> Waiter | None:
        """Remove and return the next request, or None."""
        while self._heap:
            start_tag, _, waiter = heapq.heappop(self._heap)
            if waiter.is_removed:
                continue
            self.remove(waiter)
            self._virtual_time = max(self._virtual_time, start_tag)
            self._discard_idle_flows()
            return waiter
        return None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue."""
        if not waiter.is_removed:
            waiter.is_removed = True
            self._length -= 1

    def _compute_start_tag(self, flow: Flow) -> float:
        finish_tag = self._finish_tag_by_flow.get(flow, 0.0)
        return max(self._virtual_time, finish_tag)

    def _discard_idle_flows(self) -> None:
        if self._length:
            return
        self._finish_tag_by_flow = {
            flow: finish_tag
            for flow, finish_tag in self._finish_tag_by_flow.items()
            if finish_tag > self._virtual_time
        }
