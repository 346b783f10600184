"""Tests of the figures about single searchers."""

import itertools
import weakref
from collections.abc import Iterable
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import (
    BaseSearcherCodec,
    ConnectionParameters,
    SearcherPools,
)
from jacinthcart.routing._pool import SearcherConnection
from jacinthcart.routing._response_memory import ResponseMemory
from jacinthcart.routing._response_progress import ResponseProgress
from jacinthcart.routing._searcher_log import SearcherLog
from jacinthcart.routing._traffic import OTHER, TrafficTable
from jacinthcart.telemetry import Metrics
from tests.scripted_server import ScriptedServer
from tests.support import create_searcher, run_in_virtual_time

_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_LENGTH = b'HTTP/1.1 500 X\r\ncontent-length: 9000000\r\n\r\n'
_MANY = 100_000


class _Stream:
    """Stream whose searcher sends blocks, one each millisecond."""

    def __init__(self, blocks: Iterable[bytes]) -> None:
        self._blocks = iter(blocks)

    def extra(self, attribute: Any) -> None:
        """Return no attribute."""

    async def send(self, message: bytes) -> None:
        """Discard the request."""

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next block."""
        await anyio.sleep(0.001)
        block = next(self._blocks, None)
        if block is None:
            raise anyio.EndOfStream
        return block


class _Fixture:
    """A table, and connections that share a limit."""

    def __init__(self, limit_bytes: int = 64_000_000) -> None:
        self.logger = mock.Mock()
        self.memory = ResponseMemory(limit_bytes)
        self.table = TrafficTable(
            SearcherLog(Metrics(), self.logger), anyio.current_time
        )
        self._codec = mock.create_autospec(BaseSearcherCodec, instance=True)
        self._codec.find_request_id.return_value = 'id'

    async def exchange(self, blocks: Iterable[bytes], name: str = 'a') -> None:
        """Exchange a request for the response that the blocks are."""
        stream: Any = _Stream(blocks)
        connection = SearcherConnection(stream, self._codec, self.memory, 0)
        with self.table.observe(create_searcher(name), connection.progress):
            await connection.exchange(b'', 'id')


async def _give_up(
    blocks: Iterable[bytes], limit_bytes: int = 64_000_000
) -> _Fixture:
    fixture = _Fixture(limit_bytes)
    with anyio.move_on_after(1):
        try:
            await fixture.exchange(blocks)
        except OutcomeUnknownError:
            return fixture
    return fixture


class UnfinishedResponseTests(TestCase):
    """Responses that don't complete are counted with their reason."""

    def test_reasons(self) -> None:
        """Guards against endless responses that can't be told apart."""
        endless = itertools.repeat(b'1\r\na\r\n' * _MANY)
        cases: dict[str, tuple[Iterable[bytes], int]] = {
            'too large': (itertools.chain([_CHUNKED], endless), 64_000_000),
            'malformed': ([_CHUNKED, b'z'], 64_000_000),
            'memory': ([_LENGTH, b'a' * _MANY], 50_000),
            'time limit': (
                itertools.chain([_LENGTH], itertools.repeat(b'a')),
                64_000_000,
            ),
            'failed': ([_LENGTH, b'a'], 64_000_000),
        }
        for reason, (blocks, limit_bytes) in cases.items():
            with self.subTest(reason):
                fixture = run_in_virtual_time(_give_up, blocks, limit_bytes)
                traffic = fixture.table.traffic_by_label['a']
                self.assertEqual(traffic.unfinished_by_reason, {reason: 1})
                self.assertEqual(traffic.sends, 1)
                lines = fixture.logger.warning.call_count
                self.assertEqual(lines, int(reason != 'failed'))

    def test_endless_head_is_too_large(self) -> None:
        """Guards against a header without end that looks like another fault."""
        blocks = [b'HTTP/1.1 200 OK\r\na: ', *itertools.repeat(b'b' * 9000, 9)]
        fixture = run_in_virtual_time(_give_up, blocks)
        traffic = fixture.table.traffic_by_label['a']
        self.assertEqual(traffic.unfinished_by_reason, {'too large': 1})
        fields = fixture.logger.warning.call_args.kwargs
        self.assertIsNone(fields['framing'])

    def test_line_describes_the_response(self) -> None:
        """Guards against a line that doesn't tell what was received."""
        blocks = [_CHUNKED, b'1\r\na\r\n' * 50, b'z\r\n']
        fixture = run_in_virtual_time(_give_up, blocks)
        fixture.logger.warning.assert_called_once_with(
            'response given up',
            searcher='a',
            born=1,
            reason='malformed',
            status=200,
            framing='chunked',
            received_bytes=sum(map(len, blocks)),
            pieces=50,
            elapsed_ms=3,
            suppressed=0,
        )

    def test_response_that_did_not_begin_is_not_counted(self) -> None:
        """Guards against a silent searcher that seems to send."""
        fixture = run_in_virtual_time(_give_up, [])
        traffic = fixture.table.traffic_by_label['a']
        self.assertFalse(traffic.unfinished_by_reason)

    def test_withheld_request_is_no_send(self) -> None:
        """Guards against sends that the searcher never had."""
        table = run_in_virtual_time(_withhold)
        self.assertEqual(table.traffic_by_label['a'].sends, 0)

    def test_lines_are_bounded(self) -> None:
        """Guards against faulty searchers that fill the log."""
        run_in_virtual_time(self._check_lines)

    async def _check_lines(self) -> None:
        fixture = _Fixture()
        for _ in range(30):
            for number in range(20):
                await self._fail(fixture, str(number))
        # 600 responses took 0.6 s: a burst of five and three a second later.
        written = fixture.logger.warning.call_args_list
        self.assertLessEqual(len(written), 8)
        searchers = [call.kwargs['searcher'] for call in written]
        self.assertEqual(len(searchers), len(set(searchers)))
        await anyio.sleep(10)
        await self._fail(fixture, '0')
        fields = fixture.logger.warning.call_args.kwargs
        self.assertEqual(fields['suppressed'], 29)

    async def _fail(self, fixture: _Fixture, name: str) -> None:
        with self.assertRaises(OutcomeUnknownError):
            await fixture.exchange([b'z'], name)


async def _withhold() -> TrafficTable:
    table = _Fixture().table
    progress = ResponseProgress(weakref.WeakSet())
    try:
        with table.observe(create_searcher('a'), progress):
            raise NotSentError('withheld')
    except NotSentError:
        return table


class TrafficTableTests(TestCase):
    """Figures exist for a bounded number of searchers that are listed."""

    def test_searchers_are_bounded(self) -> None:
        """Guards against labels that grow with the number of searchers."""
        table = TrafficTable(mock.Mock(), float)
        for number in range(2000):
            table.get(str(number)).sends += 1
        self.assertEqual(len(table.traffic_by_label), 257)
        self.assertEqual(table.traffic_by_label[OTHER].sends, 1744)

    def test_searchers_that_left_are_dropped(self) -> None:
        """Guards against new searchers without figures of their own."""
        table = TrafficTable(mock.Mock(), float)
        for number in range(300):
            table.get(str(number))
        table.retain({'7'})
        table.get('new')
        self.assertEqual(set(table.traffic_by_label), {'7', OTHER, 'new'})


class OpenConnectionsTests(TestCase):
    """Connections are listed from their start to their close."""

    def test_only_open_connections_are_listed(self) -> None:
        """Guards against queues of the kernel that no figure shows."""
        anyio.run(self._check_open_connections)

    async def _check_open_connections(self) -> None:
        pools = SearcherPools(
            PlatformSearcherCodec(), anyio.current_time, ConnectionParameters()
        )
        async with ScriptedServer([], 1).listen() as port:
            searcher = create_searcher('a', port=port)
            connection = await pools.acquire(searcher, 'i', at_most_once=False)
            self.assertEqual(pools.list_open_connections(), [connection])
            self.assertEqual(connection.count_queue_bytes(), 0)
            await connection.close()
            self.assertEqual(pools.list_open_connections(), [])


class MeasuredParsingTests(TestCase):
    """Processor time is measured for large responses only."""

    @mock.patch('time.thread_time', side_effect=itertools.count())
    def test_small_response_costs_no_clock(self, clock: mock.Mock) -> None:
        """Guards against a system call for each ordinary response."""
        body = [b'HTTP/1.1 200 OK\r\ncontent-length: 3000\r\n\r\n', b'a' * 3000]
        fixture = run_in_virtual_time(_give_up, body)
        clock.assert_not_called()
        self.assertEqual(
            fixture.table.traffic_by_label['a'].received_bytes,
            sum(map(len, body)),
        )

    @mock.patch('time.thread_time', side_effect=itertools.count())
    def test_blocks_of_a_large_response_are_measured(
        self, clock: mock.Mock
    ) -> None:
        """Guards against parsing of small chunks that no figure shows."""
        blocks = [_CHUNKED, *itertools.repeat(b'1\r\na\r\n' * 500, 4)]
        fixture = run_in_virtual_time(_give_up, blocks)
        # The blocks after the first 4096 bytes take a unit each.
        self.assertEqual(fixture.table.traffic_by_label['a'].parse_s, 3)

    def test_bodies_are_listed_while_they_exist(self) -> None:
        """Guards against memory of responses that no figure shows."""
        run_in_virtual_time(self._check_bodies)

    async def _check_bodies(self) -> None:
        fixture = _Fixture()
        blocks = itertools.chain([_LENGTH], itertools.repeat(b'a' * 10_000, 50))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.exchange, blocks)
            await anyio.sleep(0.0205)
            body = next(iter(fixture.memory.bodies))
            self.assertGreaterEqual(
                fixture.memory.held_bytes, body.compute_held_bytes()
            )
            tasks.cancel_scope.cancel()
        # It stays listed and counted until it is gone.
        self.assertEqual(list(fixture.memory.bodies), [body])
        self.assertGreaterEqual(
            fixture.memory.held_bytes, body.compute_held_bytes()
        )
        del body
        self.assertEqual(list(fixture.memory.bodies), [])
        self.assertEqual(fixture.memory.held_bytes, 0)
