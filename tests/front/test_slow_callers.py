"""Tests of callers that read or write slowly, over loopback sockets."""

import collections
import functools
import socket
import types
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase, mock

import anyio
from anyio.abc import SocketStream

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front import (
    BaseRequestHandler,
    CallerMemory,
    CallerMemoryParameters,
    HttpServer,
    RawRequest,
    RawResponse,
)
from jacinthcart.front import _connection, _server, _writer
from jacinthcart.front._memory import ConnectionAccount
from jacinthcart.network import Endpoint
from jacinthcart.program import read_boot_clock
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import ManualClock, run_in_virtual_time

_ADDRESS = '127.0.0.1'
_LARGE_BYTES = 262_144
_LIMIT_BYTES = 16_000_000
_SLOW_CALLERS = 1_000
_MANY_CONNECTIONS = 2_000
_HEAD = b'%s /%s HTTP/1.1\r\nHost: h\r\n%s\r\n'
_SMALL = _HEAD % (b'GET', b'small', b'')
_SLOW = _HEAD % (b'GET', b'slow', b'')
_LARGE = _HEAD % (b'GET', b'large', b'')
#: A request whose answer does not fit the buffers of the kernel.
_HUGE = _HEAD % (b'GET', b'huge', b'')
_BYTES_BY_TARGET = types.MappingProxyType(
    {b'/small': 1, b'/slow': 1, b'/large': _LARGE_BYTES, b'/huge': 8_000_000}
)
_LISTEN = _server.listen
_POST = _HEAD % (b'POST', b'small', b'Content-Length: %d\r\n' % _LARGE_BYTES)


class _RecordingMemory(CallerMemory):
    """Memory that records the most that was held."""

    def __init__(self, *arguments: Any) -> None:
        """Create the limit."""
        super().__init__(*arguments)
        self.peak_bytes = 0

    def record_incoming(
        self, account: ConnectionAccount, change_bytes: int
    ) -> None:
        """Record what is held after a change."""
        super().record_incoming(account, change_bytes)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def record_answer(
        self, account: ConnectionAccount, change_bytes: int
    ) -> None:
        """Record what is held after a change."""
        super().record_answer(account, change_bytes)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)


class _Handler(BaseRequestHandler):
    """Answers `/large` with a large body and counts requests."""

    def __init__(self) -> None:
        """Start without requests."""
        self.handled_by_target: collections.Counter[bytes] = (
            collections.Counter()
        )
        self.header_timeout_s = 30.0
        self.slow_s = 30.0
        self.finished_slow = 0

    def get_limits(self) -> FrontLimits:
        """Return limits with the largest bodies."""
        return FrontLimits(16384, _LARGE_BYTES, self.header_timeout_s, 100)

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return a body of its own, as each searcher's is."""
        self.handled_by_target[request.target] += 1
        if request.target == b'/slow':
            await anyio.sleep(self.slow_s)
            self.finished_slow += 1
        length = _BYTES_BY_TARGET[request.target]
        return RawResponse(200, (), b'a' * length)


class _Server:
    """A server with a limited memory and the clock of the limit."""

    def __init__(self, connections: int) -> None:
        """Create the server; `run` starts it.

        It keeps no more than `connections` without a request.
        """
        with socket.socket() as probe:
            probe.bind((_ADDRESS, 0))
            self.port = probe.getsockname()[1]
        self.clock = ManualClock()
        self.handler = _Handler()
        self.metrics = Metrics()
        logger = create_logger('test')
        self.memory = _RecordingMemory(
            CallerMemoryParameters(_LIMIT_BYTES, connections * 20 * 1024),
            self.clock,
            self.metrics,
            logger,
        )
        self._server = HttpServer(
            Endpoint(address=_ADDRESS, port=self.port),
            self.handler,
            read_boot_clock,
            logger,
            self.memory,
        )
        self._streams: list[SocketStream] = []

    async def run(
        self, scenario: Callable[['_Server'], Awaitable[None]]
    ) -> None:
        """Run the scenario against the server."""
        with anyio.fail_after(50):
            async with anyio.create_task_group() as tasks:
                await self._server.start(tasks)
                await scenario(self)
                for stream in self._streams:
                    await anyio.aclose_forcefully(stream)
                tasks.cancel_scope.cancel()

    async def send(self, message: bytes) -> SocketStream:
        """Return a new connection on which `message` was sent."""
        stream = await anyio.connect_tcp(_ADDRESS, self.port)
        self._streams.append(stream)
        await stream.send(message)
        return stream

    async def ask(self, message: bytes = _SMALL) -> int:
        """Return the status of the response to `message`."""
        received = await (await self.send(message)).receive()
        return int(received.split(b' ')[1])

    def count(self, action: str) -> int:
        """Return how many connections gave way with `action`."""
        return self.metrics.counts_by_key[('caller_memory', action)]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until `condition` holds."""
        while not condition():
            await anyio.sleep(0.01)


async def _listen(*arguments: Any) -> socket.socket:
    """Return a socket whose connections have small kernel buffers.

    What the kernel takes is not held by the server.
    """
    raw_socket = await _LISTEN(*arguments)
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        raw_socket.setsockopt(socket.SOL_SOCKET, option, 65536)
    return raw_socket


def _run(
    scenario: Callable[[_Server], Awaitable[None]],
    connections: int = _MANY_CONNECTIONS,
) -> None:
    # No answer may time out before the scenario ends.
    with (
        mock.patch.object(_writer, '_SEND_TIMEOUT_S', 60),
        mock.patch.object(_server, 'listen', _listen),
    ):
        anyio.run(functools.partial(_Server(connections).run, scenario))


class SlowCallerTests(TestCase):
    """Slow callers take a bounded part of a VM's memory."""

    def test_unread_answers_are_bounded(self) -> None:
        """Guards against a process that its callers' answers fill up."""

        async def scenario(server: _Server) -> None:
            statuses: list[int] = []
            for number in range(_SLOW_CALLERS):
                await server.send(_LARGE * 4)
                if number % 5 == 0:
                    statuses.append(await server.ask())
            self.assertEqual(set(statuses), {200, 503})
            # A refused request has not run.
            handled = server.handler.handled_by_target[b'/small']
            self.assertEqual(handled, statuses.count(200))
            server.clock.advance(3)
            statuses = [await server.ask() for _ in range(100)]
            self.assertEqual(set(statuses), {200})
            self.assertGreater(server.count('closed'), 0)
            self.assertLessEqual(server.memory.peak_bytes, _LIMIT_BYTES)

        _run(scenario)

    def test_idle_connections_are_bounded(self) -> None:
        """Guards against a process that connections without requests fill."""

        async def scenario(server: _Server) -> None:
            used = await server.send(_SMALL)
            await used.receive()
            for _ in range(100):
                await server.send(b'')
                self.assertEqual(await server.ask(), 200)
            with self.assertRaises(anyio.EndOfStream):
                await used.receive()

        _run(scenario, connections=50)

    def test_slow_request_bodies_are_bounded(self) -> None:
        """Guards against a process that incomplete requests fill up.

        Short requests are served meanwhile.
        """

        async def scenario(server: _Server) -> None:
            message = _POST.ljust(_LARGE_BYTES // 4, b'a')
            for _ in range(_SLOW_CALLERS // 2):
                await server.send(message)
            await server.wait_until(lambda: server.count('refused') > 0)
            self.assertEqual(await server.ask(), 200)
            self.assertEqual(server.handler.handled_by_target.total(), 1)
            self.assertLessEqual(server.memory.peak_bytes, _LIMIT_BYTES)

        _run(scenario)

    def test_slow_header_sections_are_bounded(self) -> None:
        """Guards against headers that take more memory than their bytes."""

        async def scenario(server: _Server) -> None:
            start = _HEAD[:-2] % (b'GET', b'small', b'a:\r\n' * 2_000)
            for _ in range(_SLOW_CALLERS // 10):
                await server.send(start)
            await server.wait_until(lambda: server.count('refused') > 0)
            self.assertEqual(await server.ask(), 200)
            self.assertLessEqual(server.memory.peak_bytes, _LIMIT_BYTES)

        _run(scenario)

    def test_pipelined_requests_are_not_read_without_end(self) -> None:
        """Guards against collecting requests of a caller that never reads."""

        async def scenario(server: _Server) -> None:
            stream = await server.send(_HUGE)
            finished: list[bool] = []

            async def send() -> None:
                await stream.send(_SMALL * 300_000)
                finished.append(True)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                for _ in range(300):
                    self.assertEqual(await server.ask(), 200)
                tasks.cancel_scope.cancel()
            self.assertEqual(finished, [])
            self.assertLess(server.memory.peak_bytes, 10_000_000)

        _run(scenario)

    def test_disconnect_behind_many_requests_is_noticed(self) -> None:
        """Guards against work for a caller that has left.

        With many requests waiting, nothing was read and none was cancelled.
        """

        async def scenario(server: _Server) -> None:
            handled = server.handler.handled_by_target
            stream = await server.send(_SLOW * 20)
            await server.wait_until(lambda: bool(handled[b'/slow']))
            await stream.aclose()
            await server.wait_until(lambda: not server.memory.held_bytes)
            self.assertEqual(handled[b'/slow'], 1)
            self.assertEqual(server.handler.finished_slow, 0)

        _run(scenario)

    def test_expectation_behind_an_unread_answer_is_harmless(self) -> None:
        """Guards against the end of the process.

        An interim response was sent while an answer was being written.
        """

        async def scenario(server: _Server) -> None:
            expecting = _POST.replace(b'Host: h', b'Expect: 100-continue')
            stream = await server.send(_HUGE)
            await server.wait_until(
                lambda: bool(server.handler.handled_by_target)
            )
            await stream.send(expecting)
            for _ in range(20):
                self.assertEqual(await server.ask(), 200)

        _run(scenario)

    def test_refusal_reaches_a_caller_that_is_still_sending(self) -> None:
        """Guards against a reset that destroys the refusal."""

        async def scenario(server: _Server) -> None:
            post = await server.send(_POST)
            for _ in range(100):
                await server.send(_LARGE * 4)
            await server.wait_until(lambda: server.count('refused') > 0)
            await post.send(b'a' * 100_000)
            received = await post.receive()
            self.assertIn(b' 503 ', received)

        _run(scenario)

    def test_header_section_in_small_parts_times_out(self) -> None:
        """Guards against a connection that a caller keeps busy for ever."""

        async def scenario(server: _Server) -> None:
            server.handler.header_timeout_s = 0.3
            stream = await server.send(b'GET /small HTTP/1.1\r\n')
            received: list[bytes] = []

            async def receive() -> None:
                received.append(await stream.receive())
                tasks.cancel_scope.cancel()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(receive)
                for _ in range(50):
                    await stream.send(b'a:b\r\n')
                    await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()
            self.assertIn(b' 408 ', b''.join(received))

        _run(scenario)


class _SlowStream:
    """A stream whose peer sends one request and takes 8 kB a second."""

    def __init__(self) -> None:
        """Create the stream."""
        self.taken = b''
        self._requests = [_LARGE]

    def extra(self, attribute: Any) -> None:
        """Return no attribute."""

    async def receive(self, max_bytes: int) -> bytes:
        """Return the request, then wait."""
        if not self._requests:
            await anyio.sleep_forever()
        return self._requests.pop()

    async def send(self, message: bytes) -> None:
        """Take the message, which takes time."""
        await anyio.sleep(len(message) / 8_000)
        self.taken += message

    async def aclose(self) -> None:
        """Close the stream."""


class SlowReaderTests(TestCase):
    """A caller that reads slowly, but reads, gets its answer."""

    def test_answer_that_is_read_slowly_arrives(self) -> None:
        """Guards against a time limit for an answer as a whole."""
        stream = run_in_virtual_time(self._serve)
        self.assertGreater(len(stream.taken), _LARGE_BYTES)

    async def _serve(self) -> _SlowStream:
        slow = _SlowStream()
        stream: Any = slow
        logger = create_logger('test')
        clock = anyio.current_time
        connection = _connection.ServerConnection(
            stream,
            _Handler(),
            clock,
            logger,
            CallerMemory(
                CallerMemoryParameters(_LIMIT_BYTES, _LIMIT_BYTES),
                clock,
                Metrics(),
                logger,
            ),
        )
        with anyio.move_on_after(60):
            await connection.run()
        return slow
