"""Searchers' own statements about whether they accept requests."""

import math

from jacinthcart.catalogue import Searcher
from jacinthcart.program import Clock

#: Longest period in seconds that a searcher can ask this VM to wait. Limits
#: the effect of a faulty Retry-After value.
_MAX_RETRY_AFTER_S = 300.0
#: Number of searchers whose departure is remembered. Their ids are kept after
#: their entries have disappeared, because an entry may reappear.
_MAX_LEAVING_SEARCHERS = 4096


class AvailabilityTracker:
    """Searchers that have told this VM to stop sending requests.

    A searcher process that leaves gets no more requests until a later process
    with the same id is published. A searcher that rejected a request and
    named a delay gets none until the delay has passed. Both outlive the
    searcher's published entry, which may be older than the statement.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without any statements."""
        self._clock = clock
        #: Start time of the newest process that leaves, by searcher id.
        self._leaving_born_by_id: dict[str, int] = {}
        #: Clock time in seconds at which requests may be sent again.
        self._resume_at_by_process: dict[tuple[str, int], float] = {}

    def record_leaving(self, searcher: Searcher) -> bool:
        """Record that a searcher process leaves; return whether it is new."""
        if self.is_leaving(searcher):
            return False
        born_by_id = self._leaving_born_by_id
        born_by_id.pop(searcher.searcher_id, None)
        born_by_id[searcher.searcher_id] = searcher.born
        if len(born_by_id) > _MAX_LEAVING_SEARCHERS:
            born_by_id.pop(next(iter(born_by_id)))
        return True

    def record_retry_after(
        self, searcher: Searcher, retry_after_s: float
    ) -> None:
        """Record that a searcher wants no requests for `retry_after_s`.

        A period in effect is extended, never shortened.
        """
        now = self._clock()
        resume_at = now + min(retry_after_s, _MAX_RETRY_AFTER_S)
        current = self._resume_at_by_process.get(searcher.process, -math.inf)
        self._resume_at_by_process[searcher.process] = max(current, resume_at)

    def remove_expired(self) -> None:
        """Drop the periods that have passed."""
        now = self._clock()
        self._resume_at_by_process = {
            process: resume_at
            for process, resume_at in self._resume_at_by_process.items()
            if resume_at > now
        }

    def is_leaving(self, searcher: Searcher) -> bool:
        """Return whether this process of the searcher has said it leaves."""
        born = self._leaving_born_by_id.get(searcher.searcher_id)
        return born is not None and searcher.born <= born

    def compute_earliest_send(self, searcher: Searcher) -> float:
        """Return the clock time from which requests may be sent.

        The time is negative infinity without a statement of the searcher and
        infinity if it leaves.
        """
        if self.is_leaving(searcher):
            return math.inf
        return self._resume_at_by_process.get(searcher.process, -math.inf)

    def may_send(self, searcher: Searcher) -> bool:
        """Return whether a request may be sent to the searcher now."""
        return self.compute_earliest_send(searcher) <= self._clock()
