"""A real request server over simulated searchers with queues."""

import collections
import dataclasses
import random
import weakref
from collections.abc import Callable, Mapping
from typing import Any
from unittest import mock

import anyio

from jacinthcart.catalogue import Catalogue, CatalogueState, Route, Searcher
from jacinthcart.errors import Ran, RefusalError
from jacinthcart.fleet import MemberParameters, MemberRecord, MemberTable
from jacinthcart.routing import (
    BaseSearcherCodec,
    BudgetParameters,
    ColdStartLimiter,
    ConnectionParameters,
    ExtraSendBudget,
    HealthTracker,
    LoadReport,
    QuantileTracker,
    ResponseHead,
    RoutingTable,
    SearcherClient,
    SearcherPools,
    SearcherResponse,
    SelectionParameters,
)
from jacinthcart.serving import (
    Admission,
    Admitted,
    MergedAnswer,
    RequestServer,
    ServingParameters,
    Shutdown,
)
from jacinthcart.telemetry import Metrics, create_logger
from jacinthcart.routing._response_progress import ResponseProgress
from tests.support import (
    create_catalogue,
    create_member,
    create_request,
    create_route,
)

#: Standard deviation of the logarithm of a service time.
_SERVICE_TIME_SIGMA = 0.35
_STATUS_FULL = 503
_BUDGET = BudgetParameters(ratio=0.2, slack=56)


def create_shard_route(**changes: Any) -> Route:
    """Return a public route over one required shard."""
    fields: dict[str, Any] = {
        'shares': (),
        'shards': ('shard-0',),
        'is_public': True,
        'min_shard_fraction': 1,
    }
    return create_route('a', **{**fields, **changes})


class QueuedSearcher:
    """Simulated searcher with slots and a bounded queue.

    It refuses requests while its queue is full.
    """

    def __init__(
        self,
        searcher: Searcher,
        service_time_s: float,
        source: random.Random,
        queue: int = 12,
        refused_fraction: float = 0,
        compute_slowdown: Callable[[], float] | None = None,
        *,
        reports_slowdown: bool = False,
    ) -> None:
        """Create an idle searcher.

        `service_time_s` is the median service time of a request, `queue` the
        maximum number of waiting requests and `refused_fraction` the fraction
        of requests that are refused regardless of the load.
        `compute_slowdown` returns how many times as long as usual work takes
        on the searcher's machine at present.
        """
        self.searcher = searcher
        self.service_time_s = service_time_s
        self.arrivals = 0
        self._random = source
        self._queue = queue
        self._refused_fraction = refused_fraction
        self._compute_slowdown = compute_slowdown or (lambda: 1.0)
        self._reports_slowdown = reports_slowdown
        self._running = 0
        self._waiting = 0
        self._slots = anyio.Semaphore(searcher.slots)

    async def answer(
        self, service_time_s: float | None = None
    ) -> SearcherResponse:
        """Wait for a slot and process a request.

        `service_time_s` is the median service time of the request, that of
        the searcher if not given.
        """
        self.arrivals += 1
        is_refused = self._random.random() < self._refused_fraction
        if is_refused or self._waiting >= self._queue:
            return self._respond(_STATUS_FULL)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await self._process(service_time_s or self.service_time_s)
            return self._respond(200)
        finally:
            self._running -= 1
            self._slots.release()

    async def _process(self, service_time_s: float) -> None:
        noise = self._random.lognormvariate(0, _SERVICE_TIME_SIGMA)
        await anyio.sleep(service_time_s * noise * self._compute_slowdown())

    def _respond(self, status: int, **statements: Any) -> SearcherResponse:
        return SearcherResponse(
            head=ResponseHead(status, ()),
            body=b'r' * 16,
            stamp=f'{self.searcher.searcher_id}.{self.arrivals}',
            is_not_run=status == _STATUS_FULL,
            load=LoadReport(
                self._running,
                self._waiting,
                self.searcher.slots,
                self._compute_slowdown() if self._reports_slowdown else None,
            ),
            idle_timeout_s=None,
            closes_connection=False,
            **statements,
        )


class _Connection:
    """A connection to a queued searcher."""

    def __init__(self, searcher: QueuedSearcher) -> None:
        """Create a usable connection."""
        self.progress = ResponseProgress(weakref.WeakSet())
        self.is_usable = True
        self.has_unfinished_response = False
        self._searcher = searcher

    async def exchange(
        self,
        message: bytes,
        request_id: str,
        *,
        expects_body: bool,
    ) -> SearcherResponse:
        """Return the searcher's response."""
        return await self._searcher.answer()


class _Pools(SearcherPools):
    """Pools that connect to simulated searchers after a fixed delay."""

    def __init__(
        self,
        searchers: Mapping[str, QueuedSearcher],
        clock: Any,
        connect_s: float,
    ) -> None:
        """Create the pools; `searchers` maps ids to searchers."""
        codec = mock.create_autospec(BaseSearcherCodec, instance=True)
        super().__init__(codec, clock, ConnectionParameters())
        self._searchers = searchers
        self._connect_s = connect_s

    async def acquire(
        self, searcher: Searcher, request_id: str, *, at_most_once: bool
    ) -> Any:
        """Return a connection."""
        if self._connect_s:
            await anyio.sleep(self._connect_s)
        return _Connection(self._searchers[searcher.searcher_id])

    async def release(self, *arguments: Any) -> None:
        """Discard the connection."""


def create_client(
    pools: SearcherPools,
    searchers: list[Searcher],
    catalogue: Catalogue,
    member: MemberRecord,
    source: random.Random,
    metrics: Metrics,
) -> SearcherClient:
    """Return the client of the VM `member`; requires a running event loop."""
    clock = anyio.current_time
    logger = create_logger('test')
    catalogue_state = CatalogueState(clock, logger)
    catalogue_state.update_catalogue(catalogue)
    health_tracker = HealthTracker(clock)
    members = MemberTable(member, clock, logger, MemberParameters())
    client = SearcherClient(
        pools,
        RoutingTable(
            catalogue_state,
            members,
            health_tracker,
            ColdStartLimiter(members.own.address, members.rank, clock),
            clock,
            source,
            lambda: 1.0,
            SelectionParameters(),
        ),
        health_tracker,
        QuantileTracker(),
        mock.create_autospec(BaseSearcherCodec, instance=True),
        clock,
        metrics,
        logger,
    )
    catalogue_state.apply_searcher_changes(
        {one.searcher_id: one for one in searchers}
    )
    return client


@dataclasses.dataclass
class Results:
    """Results of a simulated load."""

    #: Latencies of answers in seconds, by number of missing parts.
    latencies_by_missing: dict[int, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    #: Number of requests that were refused.
    refused: int = 0
    #: Seconds after which requests were refused.
    refused_after_s: list[float] = dataclasses.field(default_factory=list)
    #: Whether each refused request may have run, as its refusal says.
    ran: list[Ran] = dataclasses.field(default_factory=list)
    #: Seconds from the start of the load to a refusal, and its retry delay in
    #: seconds.
    retry_after_by_time: list[tuple[float, float]] = dataclasses.field(
        default_factory=list,
    )

    @property
    def total(self) -> int:
        """Return the number of completed requests."""
        answers = self.latencies_by_missing.values()
        return self.refused + sum(len(found) for found in answers)

    def count_in_time(self, missing: int, target_s: float) -> int:
        """Return the number of answers within the target.

        Only answers that lack exactly `missing` parts count.
        """
        latencies_s = self.latencies_by_missing[missing]
        return sum(latency_s <= target_s for latency_s in latencies_s)


class Load:
    """Simulated load on one VM's request server."""

    def __init__(
        self,
        route: Route,
        searchers: list[QueuedSearcher],
        budget: ExtraSendBudget | None = None,
        cold_rate: float = 0,
        arrival_source: random.Random | None = None,
        connect_s: float = 0,
    ) -> None:
        """Create the request server; requires a running event loop.

        `cold_rate` is the limit of requests per second to a cold searcher, 0
        for no limit. With an `arrival_source`, requests arrive at the same
        times whatever the choice of searchers draws. Each send first waits
        `connect_s` for its connection.
        """
        clock = anyio.current_time
        source = random.Random(3)
        self.results = Results()
        self.metrics = Metrics()
        self._started_at = clock()
        self._route = route
        self._random = arrival_source or source
        by_id = {one.searcher.searcher_id: one for one in searchers}
        self._client = create_client(
            _Pools(by_id, clock, connect_s),
            [one.searcher for one in searchers],
            create_catalogue(route, cold_rate=cold_rate),
            create_member('10.0.0.1'),
            source,
            self.metrics,
        )
        self._server = RequestServer(
            self._client,
            budget or ExtraSendBudget(_BUDGET, lambda: 1.0, clock),
            mock.create_autospec(Admission, instance=True),
            Shutdown(clock, self._client.latencies),
            source,
            ServingParameters(),
        )

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Send requests at random times and wait for their results."""
        async with anyio.create_task_group() as background:
            background.start_soon(self._client.run)
            async with anyio.create_task_group() as requests:
                ends_at = anyio.current_time() + duration_s
                while anyio.current_time() < ends_at:
                    requests.start_soon(self._ask)
                    await anyio.sleep(self._random.expovariate(rate_per_s))
            background.cancel_scope.cancel()

    async def _ask(self) -> None:
        now = anyio.current_time()
        try:
            answer = await self._server.serve(
                create_request(now),
                Admitted(self._route, None),
            )
        except RefusalError as refusal:
            self._record_refusal(now, refusal)
            return
        assert isinstance(answer, MergedAnswer)
        latency_s = anyio.current_time() - now
        self.results.latencies_by_missing[answer.missing].append(latency_s)

    def _record_refusal(self, sent_at: float, refusal: RefusalError) -> None:
        now = anyio.current_time()
        results = self.results
        results.refused += 1
        results.refused_after_s.append(now - sent_at)
        results.ran.append(refusal.ran)
        if refusal.retry_after_ms is not None:
            results.retry_after_by_time.append(
                (now - self._started_at, refusal.retry_after_ms / 1000),
            )
