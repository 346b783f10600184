"""Searchers with queues, in virtual time, behind the real decisions."""

import collections
import dataclasses
import random
from collections.abc import Mapping
from typing import Any
from unittest import mock

import anyio

from jacinthcart.catalogue import CatalogueState, Route, Searcher
from jacinthcart.errors import RefusalError
from jacinthcart.fleet import MemberParameters, MemberTable
from jacinthcart.routing import (
    BaseSearcherCodec,
    BudgetParameters,
    SelectionParameters,
    ColdStartLimiter,
    ConnectionParameters,
    HealthTracker,
    ExtraSendBudget,
    QuantileTracker,
    ResponseHead,
    RoutingTable,
    SearcherClient,
    SearcherPools,
    SearcherResponse,
)
from jacinthcart.serving import (
    Admission,
    Admitted,
    MergedAnswer,
    RequestServer,
    ServingParameters,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import (
    create_catalogue,
    create_member,
    create_request,
    create_route,
)

_SPREAD = 0.35
_STATUS_FULL = 503
_BUDGET = BudgetParameters(ratio=0.2, slack=56)


def create_shard_route(**changes: Any) -> Route:
    """Return a public route over one shard, which must be in."""
    fields: dict[str, Any] = {
        'shares': (),
        'shards': ('shard-0',),
        'is_public': True,
        'min_shard_share': 1,
    }
    return create_route('a', **{**fields, **changes})


class QueuedSearcher:
    """Works on as many requests as it has slots; a full queue refuses."""

    def __init__(
        self,
        searcher: Searcher,
        work_s: float,
        source: random.Random,
        queue: int = 12,
        refused_share: float = 0,
    ) -> None:
        """Start idle; `work_s` is the mean time of a request.

        `refused_share` is the share of requests that it refuses for no
        reason that a caller can see.
        """
        self.searcher = searcher
        self.work_s = work_s
        self.arrivals = 0
        self._random = source
        self._queue = queue
        self._refused_share = refused_share
        self._running = 0
        self._waiting = 0
        self._slots = anyio.Semaphore(searcher.slots)

    async def answer(self) -> SearcherResponse:
        """Wait for a slot and work."""
        self.arrivals += 1
        is_refused = self._random.random() < self._refused_share
        if is_refused or self._waiting >= self._queue:
            return self._respond(_STATUS_FULL)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            work_s = self.work_s * self._random.lognormvariate(0, _SPREAD)
            await anyio.sleep(work_s)
            return self._respond(200)
        finally:
            self._running -= 1
            self._slots.release()

    def _respond(self, status: int) -> SearcherResponse:
        return SearcherResponse(
            head=ResponseHead(status, ()),
            body=b'r' * 16,
            stamp=f'{self.searcher.searcher_id}.{self.arrivals}',
            is_not_run=status == _STATUS_FULL,
            load=(self._running, self._waiting, self.searcher.slots),
            idle_timeout_s=None,
            is_last=False,
        )


class _Connection:
    """A connection to a queued searcher."""

    def __init__(self, searcher: QueuedSearcher) -> None:
        """Start usable."""
        self.is_usable = True
        self._searcher = searcher

    async def exchange(
        self,
        message: bytes,
        request_id: str,
    ) -> SearcherResponse:
        """Return the searcher's answer."""
        return await self._searcher.answer()


class _Pools(SearcherPools):
    """Connections that cost nothing."""

    def __init__(
        self,
        searchers: Mapping[str, QueuedSearcher],
        clock: Any,
    ) -> None:
        """Keep the searchers by id."""
        codec = mock.create_autospec(BaseSearcherCodec, instance=True)
        super().__init__(codec, clock, ConnectionParameters())
        self._searchers = searchers

    async def acquire(self, searcher: Searcher, *, runs_once: bool) -> Any:
        """Return a connection."""
        return _Connection(self._searchers[searcher.searcher_id])

    async def release(self, *arguments: Any) -> None:
        """Forget the connection."""


@dataclasses.dataclass
class Results:
    """What the callers of a played load got."""

    #: Latencies in seconds of the answers by their number of missing parts.
    latencies_by_missing: dict[int, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    #: Requests that ended without an answer.
    refused: int = 0

    @property
    def total(self) -> int:
        """Return the requests that ended."""
        answers = self.latencies_by_missing.values()
        return self.refused + sum(len(found) for found in answers)

    def count_in_time(self, missing: int, target_s: float) -> int:
        """Return the answers within the target that lack that many parts."""
        latencies_s = self.latencies_by_missing[missing]
        return sum(latency_s <= target_s for latency_s in latencies_s)


class Load:
    """One VM's request server over queued searchers."""

    def __init__(
        self,
        route: Route,
        searchers: list[QueuedSearcher],
        budget: ExtraSendBudget | None = None,
        cold_rate: float = 0,
    ) -> None:
        """Compose the real decisions; use inside a running loop.

        `cold_rate` is what a cold searcher bears per second, 0 without a
        limit.
        """
        clock = anyio.current_time
        logger = create_logger('test')
        source = random.Random(3)
        self.results = Results()
        self._route = route
        self._random = source
        catalogue_state = CatalogueState(clock, logger)
        catalogue_state.update_catalogue(
            create_catalogue(route, cold_rate=cold_rate)
        )
        evidence = HealthTracker(clock)
        members = MemberTable(
            create_member('10.0.0.1'),
            clock,
            logger,
            MemberParameters(),
        )
        by_id = {one.searcher.searcher_id: one for one in searchers}
        self._calls = SearcherClient(
            _Pools(by_id, clock),
            RoutingTable(
                catalogue_state,
                members,
                evidence,
                ColdStartLimiter(members.own.address, members.rank, clock),
                clock,
                source,
                lambda: 1.0,
                SelectionParameters(),
            ),
            evidence,
            QuantileTracker(),
            mock.create_autospec(BaseSearcherCodec, instance=True),
            clock,
            Metrics(),
            logger,
        )
        catalogue_state.apply_searcher_changes(
            {one.searcher.searcher_id: one.searcher for one in searchers},
        )
        self._server = RequestServer(
            self._calls,
            budget or ExtraSendBudget(_BUDGET, lambda: 1.0, clock),
            mock.create_autospec(Admission, instance=True),
            source,
            ServingParameters(),
        )

    async def play(self, rate_per_s: float, duration_s: float) -> None:
        """Send requests at random moments and wait for their ends."""
        async with anyio.create_task_group() as background:
            background.start_soon(self._calls.run)
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
        except RefusalError:
            self.results.refused += 1
            return
        assert isinstance(answer, MergedAnswer)
        latency_s = anyio.current_time() - now
        self.results.latencies_by_missing[answer.missing].append(latency_s)
