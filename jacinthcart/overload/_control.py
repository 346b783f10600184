"""Admission of queries by the queueing delay at their shards."""

import dataclasses
import enum
import random

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.overload._bands import BandParameters
from jacinthcart.overload._decision import OverloadDecision
from jacinthcart.overload._demand import DemandTracker, QueryKind
from jacinthcart.overload._policy import AdmissionPolicy
from jacinthcart.overload._retry_delays import RetryDelayParameters, RetryDelays
from jacinthcart.overload._waiting import WaitingQueries, WaitingQuery
from jacinthcart.routing import SearcherClient
from jacinthcart.telemetry import Logger, Metrics

_MS_PER_S = 1000
_METRIC = 'overload'


class OverloadMode(enum.StrEnum):
    """What overload control does."""

    #: Nothing.
    OFF = 'off'
    #: Decides and counts, but lets every query pass.
    OBSERVE = 'observe'
    #: Holds and refuses queries.
    ON = 'on'


@dataclasses.dataclass(frozen=True)
class OverloadParameters:
    """Parameters of overload control."""

    #: Longest time that a query waits for admission, as a fraction of its
    #: target. A caller that is refused within it can still return in time.
    max_wait_fraction: float = 0.1
    #: Seconds between two decisions on a waiting query.
    interval_s: float = 0.02
    #: Parameters of the admitted fractions.
    bands: BandParameters = BandParameters()
    #: Parameters of the retry delays after refusals.
    retry_delays: RetryDelayParameters = RetryDelayParameters()


@dataclasses.dataclass(frozen=True)
class QueryDemand:
    """A query that asks for admission."""

    #: Route, priority and optional parts.
    kind: QueryKind
    #: Clock time in seconds at which an answer in time is sent.
    answer_at: float
    #: Clock time in seconds until which the caller waits.
    deadline: float


class OverloadControl:
    """Decides which queries are sent while searchers lack capacity.

    Each VM decides alone. What the VMs share is the queueing delay at the
    searchers, which every response reports.
    """

    def __init__(
        self,
        client: SearcherClient,
        random_source: random.Random,
        mode: OverloadMode,
        params: OverloadParameters,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Create the control."""
        self._client = client
        self._random = random_source
        self._mode = mode
        self._params = params
        self._metrics = metrics
        self._logger = logger
        self._policy = AdmissionPolicy(client.table.service_times, params.bands)
        self._demand = DemandTracker(client.clock)
        self._waiting = WaitingQueries(random_source)
        self._retry_delays = RetryDelays(client.clock, params.retry_delays)

    async def admit(self, query: QueryDemand) -> None:
        """Return once the query may be sent.

        Raise RefusalError if it may not be sent in time. Nothing has been sent
        for the query then.
        """
        if self._mode is OverloadMode.OFF:
            return
        self._demand.record(query.kind)
        fraction = self._compute_fraction(query)
        if fraction >= 1:
            return
        if self._mode is OverloadMode.OBSERVE:
            self._count('observed', query)
            return
        await self._wait(query, fraction)

    def describe(self, query: QueryDemand) -> OverloadDecision:
        """Return what would be decided on a query now; records nothing."""
        kind = query.kind
        competing = self._list_competing(kind)
        delay_s, slack_s, shard = self._find_decisive_delay(kind)
        return OverloadDecision(
            mode=self._mode.value,
            competing=tuple(
                (one.route.name, one.priority) for one in competing
            ),
            slack_s=slack_s,
            decisive_shard=shard,
            delay_s=delay_s,
            admitted_fraction=self._policy.compute_fraction(
                delay_s, slack_s, kind, competing
            ),
            max_wait_s=max(
                0.0, self._compute_wait_until(query) - self._client.clock()
            ),
        )

    async def _wait(self, query: QueryDemand, fraction: float) -> None:
        shards = query.kind.route.shards
        started_at = self._client.clock()
        rank, _ = self._policy.compute_rank(
            query.kind, self._list_competing(query.kind)
        )
        waiting = WaitingQuery(rank, self._compute_latest_start(query))
        self._waiting.add(shards, waiting)
        try:
            await self._wait_for_admission(query, waiting, fraction)
        finally:
            self._waiting.remove(shards, waiting)
        self._count('admitted', query)
        self._metrics.record_seconds(
            (_METRIC, 'wait', query.kind.route.name),
            self._client.clock() - started_at,
        )

    async def _wait_for_admission(
        self, query: QueryDemand, waiting: WaitingQuery, fraction: float
    ) -> None:
        wait_until = self._compute_wait_until(query)
        drawn = 0.0
        while not waiting.is_admitted and fraction < 1:
            # A query draws once, and again only for what the fraction has
            # risen by. If each decision counted, queries would be admitted
            # several times as often as the fraction says.
            increase = max(0.0, fraction - drawn)
            self._waiting.draw(query.kind.route.shards, waiting.rank, increase)
            drawn += increase
            left_s = wait_until - self._client.clock()
            if not waiting.is_admitted and left_s <= 0:
                raise self._create_refusal(query, fraction)
            await waiting.wait(min(left_s, self._params.interval_s))
            fraction = self._compute_fraction(query)

    def _list_competing(self, kind: QueryKind) -> list[QueryKind]:
        # The kind itself may have been recorded long ago.
        competing = self._demand.list_competing(kind.route.shards)
        return competing if kind in competing else [*competing, kind]

    def _compute_fraction(self, query: QueryDemand) -> float:
        delay_s, slack_s, _ = self._find_decisive_delay(query.kind)
        if delay_s <= 0:
            return 1.0
        return self._policy.compute_fraction(
            delay_s, slack_s, query.kind, self._list_competing(query.kind)
        )

    def _find_decisive_delay(self, kind: QueryKind) -> tuple[float, float, str]:
        """Return delay, slack and shard of the competing kind nearest to late.

        An answer needs all shards but the optional ones, so the slowest of the
        required shards decides whether a kind is in time. A queue at a shard
        that a kind can lack does not delay it.
        """
        queue_delays = self._client.table.queue_delays
        delays_s = sorted(
            (queue_delays.estimate_s(shard), shard)
            for shard in kind.route.shards
        )
        slack_s_by_kind = self._policy.compute_slacks_s(
            kind, self._list_competing(kind)
        )
        decisive = [
            (*delays_s[len(delays_s) - 1 - one.optional_parts], slack_s)
            for one, slack_s in slack_s_by_kind.items()
        ]
        delay_s, shard, slack_s = max(decisive, key=lambda one: one[0] / one[2])
        return delay_s, slack_s, shard

    def _compute_latest_start(self, query: QueryDemand) -> float:
        service_time_s = self._policy.estimate_service_time_s(query.kind)
        return min(query.answer_at, query.deadline) - service_time_s

    def _compute_wait_until(self, query: QueryDemand) -> float:
        max_wait_s = query.kind.route.target_s * self._params.max_wait_fraction
        return min(
            self._client.clock() + max_wait_s,
            self._compute_latest_start(query),
        )

    def _create_refusal(
        self, query: QueryDemand, fraction: float
    ) -> RefusalError:
        self._retry_delays.record_refusal()
        delay_s, _, _ = self._find_decisive_delay(query.kind)
        now = self._client.clock()
        retry_after_s = self._retry_delays.compute_retry_after_s(
            delay_s,
            fraction,
            self._random.random(),
            query.deadline - now - query.kind.route.target_s,
        )
        self._count('refused', query)
        self._logger.info(
            'query refused by overload control',
            limit_key='overload_refusal',
            route=query.kind.route.name,
            priority=query.kind.priority,
            delay_ms=round(delay_s * _MS_PER_S),
            admitted_fraction=round(fraction, 2),
            retry_after_ms=round(retry_after_s * _MS_PER_S),
        )
        return RefusalError(
            RefusalCode.OVERLOADED,
            detail=f'searchers are {delay_s:.3f} s behind',
            retry_after_ms=round(retry_after_s * _MS_PER_S),
        )

    def _count(self, decision: str, query: QueryDemand) -> None:
        self._metrics.count(
            _METRIC, decision, query.kind.route.name, str(query.kind.priority)
        )


def create_overload_control(
    client: SearcherClient,
    random_source: random.Random,
    mode: OverloadMode,
    metrics: Metrics,
    logger: Logger,
) -> OverloadControl:
    """Return an overload control with the default parameters."""
    return OverloadControl(
        client, random_source, mode, OverloadParameters(), metrics, logger
    )
