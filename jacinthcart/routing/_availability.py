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
#: Number of processes of one searcher whose departure is remembered.
_MAX_LEAVING_PROCESSES = 4
#: Seconds for which processes that began before a leaving one are excluded as
#: well, as their entries are old ones. A later one is of a process that started
#: after its clock was set back; the catalogue checks that before.
_EARLIER_PROCESS_S = 10.0


class AvailabilityTracker:
    """Searchers that have told this VM to stop sending requests.

    A searcher process that leaves gets no more requests; another process with
    the same id does once it is published. A searcher that rejected a request and
    named a delay gets none until the delay has passed. Both outlive the
    searcher's published entry, which may be older than the statement.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without any statements."""
        self._clock = clock
        #: Clock times in seconds at which processes said that they leave, by
        #: searcher id and start time of the process.
        self._leaving_at_by_born_by_id: dict[str, dict[int, float]] = {}
        #: Clock time in seconds at which requests may be sent again.
        self._resume_at_by_process: dict[tuple[str, int], float] = {}

    def record_leaving(self, searcher: Searcher) -> bool:
        """Record that a searcher process leaves; return whether it is new."""
        if self.is_leaving(searcher):
            return False
        by_id = self._leaving_at_by_born_by_id
        at_by_born = by_id.pop(searcher.searcher_id, {})
        at_by_born[searcher.born] = self._clock()
        if len(at_by_born) > _MAX_LEAVING_PROCESSES:
            at_by_born.pop(next(iter(at_by_born)))
        by_id[searcher.searcher_id] = at_by_born
        if len(by_id) > _MAX_LEAVING_SEARCHERS:
            by_id.pop(next(iter(by_id)))
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
        """Return whether this process has said that it leaves.

        For a while, processes that began before it count as well.
        """
        at_by_born = self._leaving_at_by_born_by_id.get(searcher.searcher_id)
        if at_by_born is None:
            return False
        after = self._clock() - _EARLIER_PROCESS_S
        return searcher.born in at_by_born or any(
            searcher.born < born and leaving_at > after
            for born, leaving_at in at_by_born.items()
        )

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
