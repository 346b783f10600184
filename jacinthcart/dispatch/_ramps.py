"""Ramps of the searchers that this VM warms."""

from jacinthcart.dispatch._replicas import Replica
from jacinthcart.dispatch._reply import CODE_SHED, Observation
from jacinthcart.dispatch._warm_table import LocalWarmTable
from jacinthcart.feed import StateFeed
from jacinthcart.telemetry import DecisionLog
from jacinthcart.warming import Ramp

_MS_PER_S = 1000


class RampTable:
    """Contains one ramp per searcher; each incident starts a new ramp."""

    def __init__(
        self,
        feed: StateFeed,
        warm_table: LocalWarmTable,
        decisions: DecisionLog,
    ) -> None:
        """Start without ramps."""
        self._feed = feed
        self._warm_table = warm_table
        self._decisions = decisions
        self._ramps_by_id: dict[str, Ramp] = {}

    def find(self, replica: Replica) -> Ramp:
        """Return or create the ramp of the searcher's current incident."""
        searcher_id = replica.searcher_id
        incident = self._warm_table.find(searcher_id).incident
        ramp = self._ramps_by_id.get(searcher_id)
        if ramp is None or ramp.incident != incident:
            ramp = Ramp(
                incident,
                replica.service.cold_allowance,
                self._feed.clock(),
            )
            self._ramps_by_id[searcher_id] = ramp
        return ramp

    def record_response(
        self, replica: Replica, observation: Observation
    ) -> None:
        """Record a response as good or bad.

        A response that reports `cold` is expected while the searcher
        receives its cold allowance, but it must keep the allowance from
        rising.
        """
        ramp = self.find(replica)
        is_bad = (
            observation.reports_cold
            or observation.reports_draining
            or observation.code == CODE_SHED
        )
        if is_bad:
            ramp.restart(self._feed.clock())
        else:
            ramp.record_good_response(observation.sent_at)

    def record_failure(self, replica: Replica) -> None:
        """Return to the first step after a failed request."""
        self.find(replica).restart(self._feed.clock())

    def step(self, replica: Replica) -> None:
        """After a step, raise the allowance or mark the searcher as warm."""
        now = self._feed.clock()
        step_s = self._feed.view.policy.ramp_step_ms / _MS_PER_S
        ramp = self.find(replica)
        if not ramp.is_step_over(now, step_s):
            return
        is_complete = ramp.advance(now, replica.max_concurrency)
        if is_complete:
            self._warm_table.mark_warm(replica.searcher_id)
        self._decisions.record(
            'searcher_warm' if is_complete else 'ramp_step',
            replica.searcher_id,
            reason='responses were good for a whole step',
            observation=f'allowance {ramp.allowance}, incident {ramp.incident}',
            setting='ramp_step_ms',
        )
