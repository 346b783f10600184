"""Rank, slack and admitted fraction of competing queries."""

import math

from jacinthcart.overload._bands import (
    AdmissionBands,
    BandParameters,
    compute_slack_s,
)
from jacinthcart.overload._demand import QueryKind
from jacinthcart.routing import ServiceTimes

#: Service time assumed until one is known, as a fraction of the target.
_DEFAULT_SERVICE_FRACTION = 0.25
#: Slack as a fraction of the target if no competing query could be in time
#: with a queue.
_MIN_SLACK_FRACTION = 0.25
#: Shortest service time in seconds that work is compared by.
_MIN_WORK_S = 0.0001


class AdmissionPolicy:
    """Compares the queries that compete for the same searchers."""

    def __init__(
        self, service_times: ServiceTimes, params: BandParameters
    ) -> None:
        """Create the policy."""
        self._service_times = service_times
        self._params = params

    def compute_fraction(
        self,
        delay_s: float,
        slack_s: float,
        kind: QueryKind,
        competing: list[QueryKind],
    ) -> float:
        """Return the fraction of the queries of a kind to admit.

        `delay_s` is the queueing delay in seconds that comes closest to making
        one of the kinds late, `slack_s` the delay with which that kind is in
        time and `competing` contains all kinds that compete, `kind` included.
        """
        rank, ranks = self.compute_rank(kind, competing)
        bands = AdmissionBands(slack_s, ranks, self._params)
        return bands.compute_fraction(rank, delay_s)

    def compute_rank(
        self, kind: QueryKind, competing: list[QueryKind]
    ) -> tuple[int, int]:
        """Return the rank of urgency of a kind and the number of ranks.

        Rank 0 is the most urgent. Within a priority, queries that need at
        least twice the work of others rank after them: the same searcher time
        serves more of the others.
        """
        work_s_by_priority: dict[int, list[float]] = {}
        for one in competing:
            works_s = work_s_by_priority.setdefault(one.priority, [])
            works_s.append(self._estimate_work_s(one))
        urgency_by_kind = {
            other: self._compute_urgency(
                other, min(work_s_by_priority[other.priority])
            )
            for other in competing
        }
        urgencies = sorted(set(urgency_by_kind.values()))
        return urgencies.index(urgency_by_kind[kind]), len(urgencies)

    def compute_slacks_s(
        self, kind: QueryKind, competing: list[QueryKind]
    ) -> dict[QueryKind, float]:
        """Return the queueing delays in seconds with which kinds are in time.

        Queries that would be late with any queue can't be protected and do not
        keep others out. If there are no others, a fraction of the target
        stands for the slack of `kind`.
        """
        least_s = self._service_times.get_mean_s(kind.route.shards[0])
        slack_s_by_kind = {
            one: compute_slack_s(
                one.route, self.estimate_service_time_s(one), self._params
            )
            for one in competing
        }
        protected = {
            one: slack_s
            for one, slack_s in slack_s_by_kind.items()
            if slack_s > least_s
        }
        return protected or {kind: kind.route.target_s * _MIN_SLACK_FRACTION}

    def estimate_service_time_s(self, kind: QueryKind) -> float:
        """Return the time in seconds of the part that completes an answer."""
        return self._service_times.estimate_s(
            kind.route.name,
            kind.decisive_quantile,
            kind.route.target_s * _DEFAULT_SERVICE_FRACTION,
        )

    def _estimate_work_s(self, kind: QueryKind) -> float:
        default_s = kind.route.target_s * _DEFAULT_SERVICE_FRACTION
        work_s = self._service_times.estimate_s(kind.route.name, 0.5, default_s)
        return max(work_s, _MIN_WORK_S)

    def _compute_urgency(
        self, kind: QueryKind, least_work_s: float
    ) -> tuple[int, int]:
        ratio = self._estimate_work_s(kind) / least_work_s
        return kind.priority, int(math.log2(ratio))
