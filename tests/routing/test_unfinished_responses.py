"""Tests of the health of searchers whose responses do not end."""

import collections
import random
from collections.abc import Callable, Iterator
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.catalogue import Searcher
from jacinthcart.errors import RefusalError
from jacinthcart.routing import (
    Attempt,
    BudgetParameters,
    CallContext,
    ExtraSendBudget,
    SearcherClient,
    SearcherHealth,
)
from jacinthcart.serving import (
    Admission,
    Admitted,
    RequestServer,
    ServedAnswer,
    ServingParameters,
    Shutdown,
)
from jacinthcart.telemetry import Metrics
from tests.routing._endless import (
    ENDLESS_FORMS,
    EndlessPools,
    EndlessStream,
    create_chunked_response,
    create_response,
    send_endless,
)
from tests.serving.support import create_client
from tests.support import (
    create_catalogue,
    create_member,
    create_request,
    create_route,
    create_searcher,
    run_in_virtual_time,
)

#: Its requests are neither hedged nor repeated.
_ROUTE = create_route('a', is_public=True, is_idempotent=False)
_RATE_PER_S = 40
_SERVICE_TIME_S = 0.01
#: Seconds after which an attempt is stopped.
_STOP_S = 0.5


class UnfinishedResponseTests(TestCase):
    """A response that does not end is a failure of its searcher."""

    def test_endless_response_that_is_cut_off_is_a_failure(self) -> None:
        """Guards against a faulty searcher that is asked at the full rate."""
        for form in ENDLESS_FORMS:
            for stop in (SearcherClient.cancel, _abandon):
                with self.subTest(form, stop=stop.__name__):
                    health, metrics = run_in_virtual_time(
                        _cut_off, send_endless(form), stop, _STOP_S
                    )
                    self.assertEqual(health.consecutive_failures, 1)
                    self.assertEqual(
                        metrics.counts_by_key,
                        {
                            ('searcher', 'unfinished_response'): 1,
                            ('searcher', 'unknown'): 1,
                        },
                    )

    def test_slow_response_that_is_cut_off_is_no_failure(self) -> None:
        """Guards against a backoff from searchers that are merely slow."""
        start = create_response(bytes(2000))
        # A long response to an earlier request has ended.
        earlier = create_response(bytes(500_000)).replace(b'id: 1', b'id: 2')
        for received in ((), (start[:10],), (start[:-1],), (earlier,)):
            with self.subTest(received):
                health, metrics = run_in_virtual_time(
                    _cut_off, iter(received), SearcherClient.cancel
                )
                self.assertEqual(health.consecutive_failures, 0)
                self.assertEqual(health.failure_rate, 0)
                self.assertNotIn(
                    ('searcher', 'unfinished_response'), metrics.counts_by_key
                )

    def test_caller_that_leaves_is_no_failure_of_the_searcher(self) -> None:
        """Guards against callers who make VMs avoid sound searchers."""
        body = bytes(100_000)
        for received in (
            create_chunked_response(body, 5000)[:9000],
            create_response(body)[:80_000],
        ):
            with self.subTest(received[:200]):
                health, _ = run_in_virtual_time(
                    _cut_off, iter((received,)), SearcherClient.cancel
                )
                self.assertEqual(health.consecutive_failures, 0)
                self.assertEqual(health.failure_rate, 0)

    def test_long_response_that_ends_is_a_success(self) -> None:
        """Guards against a backoff from searchers with long responses."""
        received = create_response(bytes(1_000_000))
        health, _ = run_in_virtual_time(
            _cut_off, iter([received]), SearcherClient.cancel
        )
        self.assertEqual(health.consecutive_failures, 0)

    def test_faulty_searcher_costs_less_after_its_first_failures(self) -> None:
        """Guards against a cost that goes on while sound searchers serve."""
        load = run_in_virtual_time(_run_load)
        early, late = range(2), range(6, 8)
        for counts in (load.sends, load.received_bytes, load.used_s):
            self.assertGreater(sum(counts[second] for second in early), 0)
            self.assertLess(
                sum(counts[second] for second in late),
                sum(counts[second] for second in early) / 4,
            )
        # Only requests that the faulty searcher got have failed.
        self.assertEqual(load.failed, load.sends.total())
        self.assertEqual(load.answered, 8 * _RATE_PER_S - load.failed)


def _abandon(client: SearcherClient, attempt: Attempt) -> None:
    client.abandon(attempt, _ROUTE)


async def _cut_off(
    received: Iterator[bytes],
    stop: Callable[[SearcherClient, Attempt], None],
    deadline_s: float = 1,
) -> tuple[SearcherHealth, Metrics]:
    """Stop an attempt after half a second; return its searcher's health."""
    pools = EndlessPools(lambda searcher: EndlessStream(received, 0.1))
    searcher = create_searcher('s')
    metrics = Metrics()
    client = _create_client(pools, [searcher], metrics)
    now = anyio.current_time()
    context = CallContext(
        create_request(now), _ROUTE, None, now + 0.1 + deadline_s, lambda: True
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.run)
        await anyio.sleep(0.1)
        attempt = client.start(context, searcher, mock.Mock())
        await anyio.sleep(_STOP_S)
        stop(client, attempt)
        await anyio.sleep(0.4)
        tasks.cancel_scope.cancel()
    return client.table.get_health(searcher), metrics


def _create_client(
    pools: EndlessPools, searchers: list[Searcher], metrics: Metrics
) -> SearcherClient:
    client = create_client(
        pools,
        searchers,
        create_catalogue(_ROUTE),
        create_member('10.0.0.1'),
        random.Random(3),
        metrics,
    )
    codec: Any = getattr(client, '_codec')
    codec.encode_request.return_value = b''
    return client


class _Load:
    """Requests to a service with a faulty searcher and a sound one."""

    def __init__(self) -> None:
        """Create the server; requires a running event loop."""
        #: What the faulty searcher cost, by the second.
        self.sends: collections.Counter[int] = collections.Counter()
        self.received_bytes: collections.Counter[int] = collections.Counter()
        self.used_s: dict[int, float] = {}
        self.failed = 0
        self.answered = 0
        clock = anyio.current_time
        self.pools = EndlessPools(self._create_stream)
        self.client = _create_client(
            self.pools,
            [create_searcher('faulty'), create_searcher('sound')],
            Metrics(),
        )
        self._server = RequestServer(
            self.client,
            ExtraSendBudget(
                BudgetParameters(ratio=0.2, slack=56), lambda: 1.0, clock
            ),
            mock.create_autospec(Admission, instance=True),
            Shutdown(clock, self.client.latencies),
            random.Random(3),
            ServingParameters(),
        )
        self._second = 0

    async def run(self) -> None:
        """Send requests for eight seconds."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.client.run)
            for second in range(8):
                self._second = second
                received = self.pools.sum_received_bytes('faulty')
                used_s = self._get_used_s()
                for _ in range(_RATE_PER_S):
                    tasks.start_soon(self._ask)
                    await anyio.sleep(1 / _RATE_PER_S)
                received = self.pools.sum_received_bytes('faulty') - received
                self.received_bytes[second] = received
                self.used_s[second] = self._get_used_s() - used_s
            await anyio.sleep(1)
            tasks.cancel_scope.cancel()

    def _get_used_s(self) -> float:
        return self.pools.processing.used_s_by_source.get('faulty', 0)

    def _create_stream(self, searcher: Searcher) -> EndlessStream:
        if searcher.searcher_id == 'faulty':
            self.sends[self._second] += 1
            return EndlessStream(send_endless('events'), 0.001)
        # Each response has a connection of its own.
        response = create_response(b'ok').replace(
            b'content-length', b'connection: close\r\ncontent-length'
        )
        return EndlessStream(iter([response]), _SERVICE_TIME_S)

    async def _ask(self) -> None:
        try:
            answer = await self._server.serve(
                create_request(anyio.current_time()), Admitted(_ROUTE, None)
            )
        except RefusalError:
            self.failed += 1
            return
        assert isinstance(answer, ServedAnswer)
        self.answered += 1


async def _run_load() -> _Load:
    load = _Load()
    await load.run()
    return load
