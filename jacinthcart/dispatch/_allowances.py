"""Limits on this VM's concurrent requests to each searcher."""

from collections import Counter

from jacinthcart.dispatch._handover import HandoverTracker
from jacinthcart.dispatch._ramps import RampTable
from jacinthcart.dispatch._replicas import Replica, ReplicaIndex
from jacinthcart.dispatch._reply import (
    STATE_COLD,
    STATE_DRAINING,
    Observation,
)
from jacinthcart.dispatch._warm_table import LocalWarmTable
from jacinthcart.feed import StateFeed
from jacinthcart.telemetry import DecisionLog

_MS_PER_S = 1000

#: Time until a searcher that reported `draining` receives another request. A
#: drained searcher usually restarts, and only a response shows the restart.
DRAINING_RECHECK_S = 10.0


class AllowanceTracker:
    """Computes allowances from settings, the warm table and responses.

    An allowance is the number of concurrent requests that this VM may have
    in flight to a searcher.
    """

    def __init__(self, feed: StateFeed, decisions: DecisionLog) -> None:
        """Start without recorded responses."""
        self.warm_table = LocalWarmTable(feed, decisions)
        self._feed = feed
        self._handover = HandoverTracker(feed)
        self._ramps = RampTable(feed, self.warm_table, decisions)
        self._responded_at_by_id: dict[str, float] = {}
        self._unanswered_by_id: Counter[str] = Counter()
        self._draining_until_by_id: dict[str, float] = {}

    def apply_index(self, index: ReplicaIndex) -> None:
        """Apply the replicas of a new settings view."""
        self._handover.update(index)

    def compute_allowance(self, replica: Replica) -> int:
        """Return the allowance, 0 when nothing may be sent.

        A searcher without a response for `evidence_max_age_ms` may have
        turned cold undetected, so it receives one request at a time.
        """
        if not self._may_use(replica):
            return 0
        if self.warm_table.find(replica.searcher_id).warm:
            allowance = replica.max_concurrency
        elif self._may_warm(replica):
            allowance = min(
                self._ramps.find(replica).allowance, replica.max_concurrency
            )
        else:
            return 0
        if self.needs_response(replica):
            return 1
        unanswered = self._unanswered_by_id[replica.searcher_id]
        return min(allowance, replica.max_concurrency - unanswered)

    def find_exclusion_reason(self, replica: Replica) -> str:
        """Return why the allowance is 0; empty when it is not."""
        if not replica.is_owner:
            return 'not_owner'
        if not replica.is_in_service:
            return 'out_of_service'
        if self._is_draining(replica):
            return STATE_DRAINING
        if not self._may_use(replica):
            return 'handover'
        return '' if self.compute_allowance(replica) else STATE_COLD

    def is_ramping(self, replica: Replica) -> bool:
        """Return whether this VM is warming the searcher."""
        return (
            replica.is_warmer
            and not self.warm_table.find(replica.searcher_id).warm
            and self._may_use(replica)
            and self._may_warm(replica)
        )

    def needs_probe(self, replica: Replica) -> bool:
        """Return whether the current ramp step lacks a good response."""
        return (
            self.is_ramping(replica)
            and not self._ramps.find(replica).has_good_response
        )

    def needs_response(self, replica: Replica) -> bool:
        """Return whether only one request is allowed until a response arrives.

        This is the case before the first response, when the last response
        is older than `evidence_max_age_ms`, and when `max_concurrency - 1`
        requests (at least one) have ended unanswered since the last
        response. Requests that failed or were cancelled because another copy
        won do not show the searcher's state. If they were not counted, a
        searcher that is slower than every hedge would receive new requests
        until its last response is too old.
        """
        searcher_id = replica.searcher_id
        responded_at = self._responded_at_by_id.get(searcher_id)
        if responded_at is None:
            return True
        if self._unanswered_by_id[searcher_id] >= max(
            replica.max_concurrency - 1, 1
        ):
            return True
        max_age_s = self._feed.view.policy.evidence_max_age_ms / _MS_PER_S
        return self._feed.clock() - responded_at > max_age_s

    def record_response(
        self, replica: Replica, observation: Observation
    ) -> None:
        """Record a response; the state that it reports applies immediately."""
        now = self._feed.clock()
        searcher_id = replica.searcher_id
        self._responded_at_by_id[searcher_id] = now
        self._unanswered_by_id.pop(searcher_id, None)
        if observation.reports_draining:
            self._draining_until_by_id[searcher_id] = now + DRAINING_RECHECK_S
        reason = self._find_cold_reason(replica, observation)
        if reason:
            self.warm_table.start_incident(
                searcher_id, observation.generation, reason
            )
        if self.is_ramping(replica):
            self._ramps.record_response(replica, observation)

    def record_unanswered(self, replica: Replica) -> None:
        """Count a request that ended without a response."""
        self._unanswered_by_id[replica.searcher_id] += 1

    def record_failure(self, replica: Replica) -> None:
        """Restart the ramp, if any, after a request without a usable reply."""
        if self.is_ramping(replica):
            self._ramps.record_failure(replica)

    def step_ramps(self, index: ReplicaIndex) -> None:
        """Advance every ramp whose current step is over."""
        if self._feed.view.policy.automatic_changes_frozen:
            return
        for replica in index.owned:
            if self.is_ramping(replica):
                self._ramps.step(replica)

    def _may_use(self, replica: Replica) -> bool:
        return (
            replica.is_owner
            and replica.is_in_service
            and not self._is_draining(replica)
            and self._handover.may_own(replica.searcher_id)
        )

    def _may_warm(self, replica: Replica) -> bool:
        return replica.is_warmer and self._handover.may_warm(
            replica.searcher_id,
        )

    def _is_draining(self, replica: Replica) -> bool:
        until = self._draining_until_by_id.get(replica.searcher_id, 0)
        return self._feed.clock() < until

    def _find_cold_reason(
        self, replica: Replica, observation: Observation
    ) -> str:
        entry = self.warm_table.find(replica.searcher_id)
        if observation.generation != entry.generation:
            return 'new generation'
        is_trusted = entry.warm or (
            replica.is_warmer and self._ramps.find(replica).is_above_start
        )
        if is_trusted and observation.reports_cold:
            return 'reported cold'
        # A drained searcher restarts cold, so only the warmer may detect
        # its return.
        if is_trusted and observation.reports_draining:
            return 'reported draining'
        return ''


def must_finish(allowances: AllowanceTracker, replica: Replica) -> bool:
    """Return whether a request must not be cancelled when another copy wins.

    A searcher may continue to run a cancelled request. While it is cold, the
    next request would then run in addition and exceed its capacity. If its
    state is uncertain, only the response shows whether it is cold.
    """
    return allowances.needs_response(replica) or allowances.is_ramping(replica)
