"""A played load of several VMs that share searchers, in virtual time."""

import collections
import dataclasses
import random
from typing import Any
from unittest import mock

import anyio

from jacinthcart.catalogue import CatalogueState, Route, Searcher
from jacinthcart.errors import RefusalError
from jacinthcart.fleet import MemberParameters, MemberTable
from jacinthcart.overload import (
    OverloadControl,
    OverloadMode,
    OverloadParameters,
)
from jacinthcart.routing import (
    BaseSearcherCodec,
    BudgetParameters,
    CallerRequest,
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
    RequestServer,
    ServingParameters,
    Shutdown,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import (
    create_catalogue,
    create_member,
    create_route,
    create_searcher,
)

SHARDS = tuple(f'shard-{number}' for number in range(8))
DATA_CENTRES = ('one', 'two', 'three')
SLOTS = 6
QUEUE = 36
_BUDGET = BudgetParameters(ratio=0.2, slack=208)


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request and its demand."""

    name: str
    priority: int
    target_s: float
    limit_s: float
    #: Median work of a searcher for one part in seconds.
    work_s: float
    rate_per_s: float

    def create_route(self) -> Route:
        """Return the route of these requests."""
        return create_route(
            self.name,
            priority=self.priority,
            target_s=self.target_s,
            timeout_s=self.limit_s,
            attempts=3,
            shares=(),
            shards=SHARDS,
            min_shard_fraction=0.87,
            is_public=True,
            top_k=5,
        )


#: Light and urgent queries beside heavy ones, at the same searchers.
URGENT = Kind('urgent', 0, 0.097, 1.2, 0.0138, 15)
HEAVY = Kind('heavy', 1, 0.349, 3.0, 0.042, 45)


class SharedSearcher:
    """Simulated searcher with slots and a bounded queue."""

    def __init__(self, searcher: Searcher, source: random.Random) -> None:
        """Create an idle searcher."""
        self.searcher = searcher
        #: Duration of work relative to the usual one.
        self.slowdown = 1.0
        self.paused_until = 0.0
        self.busy_s = 0.0
        self.refused = 0
        self._random = source
        self._running = 0
        self._waiting = 0
        self._slots = anyio.Semaphore(searcher.slots)

    async def answer(self, work_s: float) -> SearcherResponse:
        """Wait for a slot and work on a request."""
        if self._waiting >= QUEUE:
            self.refused += 1
            return self._respond(503)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        started_at = anyio.current_time()
        try:
            await anyio.sleep_until(max(started_at, self.paused_until))
            tail = 5 if self._random.random() < 0.01 else 1
            await anyio.sleep(
                work_s
                * self.slowdown
                * tail
                * self._random.lognormvariate(0, 0.35)
            )
            return self._respond(200)
        finally:
            self.busy_s += anyio.current_time() - started_at
            self._running -= 1
            self._slots.release()

    def _respond(self, status: int) -> SearcherResponse:
        return SearcherResponse(
            head=ResponseHead(status, ()),
            body=b'r' * 16,
            stamp=f'{self.searcher.searcher_id}.{self._random.random()}',
            is_not_run=status == 503,
            load=LoadReport(self._running, self._waiting, SLOTS, 1.0),
            idle_timeout_s=None,
            closes_connection=False,
        )


class _Connection:
    """A connection to a shared searcher."""

    is_usable = True

    def __init__(self, searcher: SharedSearcher, work_s: float) -> None:
        """Create a usable connection."""
        self._searcher = searcher
        self._work_s = work_s

    async def exchange(self, *_: Any) -> SearcherResponse:
        """Return the searcher's response."""
        await anyio.sleep(0.001)
        return await self._searcher.answer(self._work_s)


class _Pools(SearcherPools):
    """Pools that connect to simulated searchers without delay."""

    def __init__(
        self, by_id: dict[str, SharedSearcher], work_s_by_kind: dict[str, float]
    ) -> None:
        """Create the pools."""
        codec = mock.create_autospec(BaseSearcherCodec, instance=True)
        super().__init__(codec, anyio.current_time, ConnectionParameters())
        self._by_id = by_id
        self._work_s_by_kind = work_s_by_kind

    async def acquire(
        self, searcher: Searcher, request_id: str, *, at_most_once: bool
    ) -> Any:
        """Return a connection."""
        work_s = self._work_s_by_kind[request_id.partition('-')[0]]
        return _Connection(self._by_id[searcher.searcher_id], work_s)

    async def release(self, *arguments: Any) -> None:
        """Discard the connection."""


@dataclasses.dataclass
class Outcomes:
    """What callers of one kind got."""

    in_time: int = 0
    in_time_after_refusal: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refused_after_s: list[float] = dataclasses.field(default_factory=list)
    #: In-time answers by whole second of the first attempt.
    in_time_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    total_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def total(self) -> int:
        """Return the number of callers."""
        answered = self.in_time + self.in_time_after_refusal + self.late
        return answered + self.refused + self.failed


class PlayedLoad:
    """VMs that serve the callers of several kinds of request."""

    def __init__(
        self, kinds: tuple[Kind, ...], vms: int, seed: int = 1, **serving: Any
    ) -> None:
        """Create VMs and searchers; requires a running event loop."""
        self.outcomes = {kind.name: Outcomes() for kind in kinds}
        self.kinds = kinds
        self.demand = 1.0
        self.random = random.Random(seed)
        self.searchers = [
            SharedSearcher(
                create_searcher(
                    f'{shard}.{data_centre}',
                    service=shard,
                    slots=SLOTS,
                    data_centre=data_centre,
                ),
                random.Random(f'{seed} {shard} {data_centre}'),
            )
            for shard in SHARDS
            for data_centre in DATA_CENTRES
        ]
        self.routes = {kind.name: kind.create_route() for kind in kinds}
        self._started_at = anyio.current_time()
        self.vms = [
            self._create_vm(DATA_CENTRES[number % 3], number, vms, serving)
            for number in range(vms)
        ]

    def _create_vm(
        self, data_centre: str, number: int, vms: int, serving: dict[str, Any]
    ) -> tuple[SearcherClient, RequestServer]:
        clock = anyio.current_time
        logger = create_logger('test')
        source = random.Random(number)
        state = CatalogueState(clock, logger)
        state.update_catalogue(create_catalogue(*self.routes.values()))
        health_tracker = HealthTracker(clock)
        members = MemberTable(
            create_member(f'10.0.0.{number}', data_centre=data_centre),
            clock,
            logger,
            MemberParameters(),
        )
        latencies = QuantileTracker()
        by_id = {one.searcher.searcher_id: one for one in self.searchers}
        client = SearcherClient(
            _Pools(by_id, {kind.name: kind.work_s for kind in self.kinds}),
            RoutingTable(
                state,
                members,
                health_tracker,
                ColdStartLimiter(members.own.address, members.rank, clock),
                clock,
                source,
                lambda: 1.0,
                serving.get('selection') or SelectionParameters(),
            ),
            health_tracker,
            latencies,
            mock.create_autospec(BaseSearcherCodec, instance=True),
            clock,
            Metrics(),
            logger,
        )
        state.apply_searcher_changes(
            {key: one.searcher for key, one in by_id.items()}
        )
        share = 1 / vms
        server = RequestServer(
            client,
            ExtraSendBudget(_BUDGET, lambda: share, clock),
            mock.create_autospec(Admission, instance=True),
            Shutdown(clock, latencies),
            source,
            ServingParameters(),
            OverloadControl(
                client,
                source,
                serving.get('mode', OverloadMode.OFF),
                serving.get('params', OverloadParameters()),
                Metrics(),
                logger,
            ),
        )
        return client, server

    async def run(self, duration_s: float) -> None:
        """Send requests at random times and wait for their results."""
        async with anyio.create_task_group() as background:
            for client, _ in self.vms:
                background.start_soon(client.run)
            for searcher in self.searchers:
                background.start_soon(self._pause, searcher)
            async with anyio.create_task_group() as callers:
                for kind in self.kinds:
                    callers.start_soon(self._arrive, callers, kind, duration_s)
            background.cancel_scope.cancel()

    async def slow_down(self, x: float, share: float) -> None:
        """Slow down a share of each shard's searchers."""
        for searcher in self.searchers:
            if self.random.random() < share:
                searcher.slowdown = x

    async def _pause(self, searcher: SharedSearcher) -> None:
        await anyio.sleep(self.random.random() * 6)
        while True:
            searcher.paused_until = anyio.current_time() + 0.25
            await anyio.sleep(6)

    async def _arrive(
        self, callers: Any, kind: Kind, duration_s: float
    ) -> None:
        ends_at = anyio.current_time() + duration_s
        number = 0
        while anyio.current_time() < ends_at:
            rate = kind.rate_per_s * self.demand
            await anyio.sleep(self.random.expovariate(rate))
            number += 1
            callers.start_soon(self._call, kind, f'{kind.name}-{number}')

    async def _call(self, kind: Kind, request_id: str) -> None:
        outcomes = self.outcomes[kind.name]
        first_at = anyio.current_time()
        deadline = first_at + kind.limit_s
        second = int(first_at - self._started_at)
        outcomes.total_by_second[second] += 1
        attempts = 2
        for attempt in range(attempts):
            started_at = anyio.current_time()
            refusal = await self._attempt(
                kind, f'{request_id}.{attempt}', deadline
            )
            now = anyio.current_time()
            if refusal is None:
                self._record_answer(kind, second, attempt, now - started_at)
                return
            if attempt == 0:
                outcomes.refused_after_s.append(now - started_at)
            wait_s = (refusal.retry_after_ms or 100) / 1000
            if attempt == attempts - 1 or now >= deadline:
                if refusal.ran == 'not_run':
                    outcomes.refused += 1
                else:
                    outcomes.failed += 1
                return
            await anyio.sleep(min(wait_s, (deadline - now) / 3))

    def _record_answer(
        self, kind: Kind, second: int, attempt: int, latency_s: float
    ) -> None:
        outcomes = self.outcomes[kind.name]
        if latency_s > kind.target_s:
            outcomes.late += 1
        elif attempt:
            outcomes.in_time_after_refusal += 1
        else:
            outcomes.in_time += 1
            outcomes.in_time_by_second[second] += 1

    async def _attempt(
        self, kind: Kind, request_id: str, deadline: float
    ) -> RefusalError | None:
        now = anyio.current_time()
        request = CallerRequest(
            request_id=request_id,
            method='GET',
            target='/a/',
            host='shop.example',
            path='/a/',
            headers=(),
            body=b'',
            credential=None,
            received_at=now,
            deadline=deadline,
        )
        route = self.routes[kind.name]
        _, server = self.random.choice(self.vms)
        try:
            await server.serve(request, Admitted(route, None, route.priority))
        except RefusalError as refusal:
            return refusal
        return None
