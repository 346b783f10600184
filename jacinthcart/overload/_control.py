"""Admission of queries by the queueing delay at their shards."""

import dataclasses
import enum
import random

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.overload._bands import (
    AdmissionBands,
    BandParameters,
    compute_slack_s,
)
from jacinthcart.overload._demand import DemandTracker, QueryKind
from jacinthcart.overload._retry_delays import RetryDelayParameters, RetryDelays
from jacinthcart.overload._waiting import WaitingQueries, WaitingQuery
from jacinthcart.routing import SearcherClient
from jacinthcart.telemetry import Logger, Metrics

_MS_PER_S = 1000
#: Service time assumed until one is known, as a fraction of the target.
_DEFAULT_SERVICE_FRACTION = 0.25
_METRIC = 'overload'


class OverloadMode(enum.StrEnum):
    """What overload control does."""

    #: Nothing.
    OFF = 'off'
    #: Decides, counts and logs, but lets every query pass.
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
    bands: BandParameters = BandParameters()
    retry_delays: RetryDelayParameters = RetryDelayParameters()


@dataclasses.dataclass(frozen=True)
class QueryDemand:
    """What a query asks for."""

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
        self._demand = DemandTracker(client.clock)
        self._waiting = WaitingQueries()
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

    async def _wait(self, query: QueryDemand, fraction: float) -> None:
        shards = query.kind.route.shards
        started_at = self._client.clock()
        wait_until = min(
            started_at
            + query.kind.route.target_s * self._params.max_wait_fraction,
            self._compute_latest_start(query),
        )
        waiting = WaitingQuery(query.kind.priority, query.answer_at)
        self._waiting.add(shards, waiting)
        drawn = 0.0
        try:
            while True:
                # A query draws once, and again only for what the fraction
                # has risen by. If each decision counted, queries would be
                # admitted several times as often as the fraction says.
                increase = max(0.0, fraction - drawn)
                self._waiting.draw(shards, query.kind.priority, increase)
                drawn += increase
                left_s = wait_until - self._client.clock()
                if not waiting.is_admitted and left_s > 0:
                    await waiting.wait(min(left_s, self._params.interval_s))
                if waiting.is_admitted:
                    break
                fraction = self._compute_fraction(query)
                if left_s <= 0:
                    raise self._create_refusal(query, fraction)
        finally:
            self._waiting.remove(shards, waiting)
        self._count('admitted', query)
        self._metrics.record_seconds(
            (_METRIC, 'wait', query.kind.route.name),
            self._client.clock() - started_at,
        )

    def _compute_fraction(self, query: QueryDemand) -> float:
        delay_s = self._estimate_delay_s(query)
        if delay_s <= 0:
            return 1.0
        competing = self._demand.list_competing(query.kind.route.shards)
        slack_s = min(
            compute_slack_s(
                kind.route,
                self._estimate_service_time_s(kind),
                self._params.bands,
            )
            for kind in competing
        )
        bands = AdmissionBands(
            slack_s,
            (kind.priority for kind in competing),
            self._params.bands,
        )
        return bands.compute_fraction(query.kind.priority, delay_s)

    def _estimate_delay_s(self, query: QueryDemand) -> float:
        # An answer needs all shards but the optional ones, so the slowest of
        # the required shards decides.
        queue_delays = self._client.table.queue_delays
        delays_s = sorted(
            queue_delays.estimate_s(shard) for shard in query.kind.route.shards
        )
        return delays_s[len(delays_s) - 1 - query.kind.optional_parts]

    def _estimate_service_time_s(self, kind: QueryKind) -> float:
        return self._client.table.service_times.estimate_s(
            kind.route.name,
            kind.decisive_quantile,
            kind.route.target_s * _DEFAULT_SERVICE_FRACTION,
        )

    def _compute_latest_start(self, query: QueryDemand) -> float:
        return query.answer_at - self._estimate_service_time_s(query.kind)

    def _create_refusal(
        self, query: QueryDemand, fraction: float
    ) -> RefusalError:
        self._retry_delays.record_refusal()
        delay_s = self._estimate_delay_s(query)
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
