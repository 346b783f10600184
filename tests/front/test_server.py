"""Tests of the HTTP server over loopback sockets."""

import contextlib
import functools
import itertools
import resource
import socket
import unittest
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front import (
    BaseRequestHandler,
    HttpServer,
    RawRequest,
    RawResponse,
)
from jacinthcart.network import Endpoint
from jacinthcart.program import read_boot_clock
from jacinthcart.telemetry import create_logger

_GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
_LAST_GET = b'GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
_EXPECTING = (
    b'POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n'
    b'Content-Length: 5\r\n\r\n'
)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_ADDRESS = '127.0.0.1'
_UPGRADES = (
    b'Connection: Upgrade\r\nUpgrade: websocket\r\n',
    b'Upgrade: h2c\r\nHTTP2-Settings: AAMA\r\n'
    b'Connection: keep-alive, HTTP2-Settings, upgrade\r\n',
)
_START = b'POST /u HTTP/1.1\r\nHost: h\r\n'
#: Requests with the body `abcde` or without one, each without its end of head.
_BODIES = (
    (b'', b''),
    (b'Content-Length: 5\r\n', b'abcde'),
    (
        b'Transfer-Encoding: chunked\r\n',
        b'3\r\nabc\r\n2\r\nde\r\n0\r\nUpgrade: h2c\r\n\r\n',
    ),
)


class FakeHandler(BaseRequestHandler):
    """Answers once the test opens its gate."""

    def __init__(self) -> None:
        """Start with an open gate."""
        self.gate = anyio.Event()
        self.gate.set()
        self.started = anyio.Event()
        self.bodies: list[bytes] = []
        self.requests: list[RawRequest] = []
        self.cancelled = 0

    def get_limits(self) -> FrontLimits:
        """Return small limits."""
        return FrontLimits(1024, 2048, 0.3, 5)

    async def handle(self, request: RawRequest) -> RawResponse:
        """Wait for the gate and answer with the target."""
        self.bodies.append(request.body)
        self.requests.append(request)
        self.started.set()
        try:
            await self.gate.wait()
        except BaseException:
            self.cancelled += 1
            raise
        if request.target == b'/fault':
            raise ValueError('bug in a handler')
        return RawResponse(200, (), request.target)


async def _exchange(
    port: int, message: bytes, piece_bytes: int, first: bytes = b''
) -> bytes:
    """Send the message in pieces; return all until the server closes.

    `first` is a request that is answered before the message is sent.
    """
    async with await anyio.connect_tcp(_ADDRESS, port) as stream:
        if first:
            await stream.send(first)
            await stream.receive()
        for start in range(0, len(message), piece_bytes):
            await stream.send(message[start : start + piece_bytes])
            await anyio.sleep(0)
        return await _read_all(stream)


Scenario = Callable[[FakeHandler, HttpServer, int], Awaitable[None]]


async def _run(scenario: Scenario) -> None:
    handler = FakeHandler()
    with socket.socket() as probe:
        probe.bind((_ADDRESS, 0))
        port = probe.getsockname()[1]
    server = HttpServer(
        Endpoint(address=_ADDRESS, port=port),
        handler,
        read_boot_clock,
        create_logger('test'),
    )
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            await server.start(tasks)
            await scenario(handler, server, port)
            tasks.cancel_scope.cancel()


def run_scenario(scenario: Scenario) -> None:
    """Run with a server that has a handler of this module."""
    anyio.run(functools.partial(_run, scenario))


def _send_without_waiting(port: int) -> socket.socket:
    caller = socket.create_connection((_ADDRESS, port))
    caller.settimeout(5)
    caller.sendall(_GET)
    return caller


async def _read_all(stream: SocketStream) -> bytes:
    received = b''
    try:
        while True:
            received += await stream.receive()
    except anyio.EndOfStream:
        return received


class HttpServerTests(unittest.TestCase):
    """Requests are read completely and answered in order."""

    def test_requests_of_one_connection_are_answered_in_order(self) -> None:
        """Guards against swapped answers to a caller that pipelines."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            stream = await anyio.connect_tcp(_ADDRESS, port)
            await stream.send(_GET + _LAST_GET)
            received = await _read_all(stream)
            self.assertLess(received.index(b'/a'), received.index(b'/b'))

        run_scenario(scenario)

    def test_requests_before_a_malformed_one_are_answered(self) -> None:
        """Guards against dropping requests that were read completely."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            stream = await anyio.connect_tcp(_ADDRESS, port)
            await stream.send(b''.join((_GET, _GET, b'NONSENSE\r\n\r\n')))
            received = await _read_all(stream)
            self.assertEqual(received.count(b' 200 '), 2)
            self.assertEqual(received.count(b' 400 '), 1)

        run_scenario(scenario)

    def test_connection_is_usable_after_a_head_request(self) -> None:
        """Guards against a body that is taken for the next answer."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            stream = await anyio.connect_tcp(_ADDRESS, port)
            head = _GET.replace(b'GET', b'HEAD')
            await stream.send(head + _LAST_GET)
            received = await _read_all(stream)
            first, end, rest = received.partition(b'\r\n\r\n')
            self.assertTrue(rest.startswith(b'HTTP/1.1 200 '), received)
            self.assertTrue(rest.endswith(b'/b'))

        run_scenario(scenario)

    def test_disconnect_cancels_the_request(self) -> None:
        """Searchers must not work for a caller that has disconnected."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            handler.gate = anyio.Event()
            stream = await anyio.connect_tcp(_ADDRESS, port)
            await stream.send(_GET)
            await handler.started.wait()
            await stream.aclose()
            while not handler.cancelled:
                await anyio.sleep(0.01)

        run_scenario(scenario)

    def test_graceful_shutdown_finishes_requests_in_flight(self) -> None:
        """Closing the listener ended the process and aborted all requests."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            handler.gate = anyio.Event()
            stream = await anyio.connect_tcp(_ADDRESS, port)
            await stream.send(_GET)
            await handler.started.wait()
            server.drain()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.close)
                await anyio.sleep(0.1)
                handler.gate.set()
                received = await _read_all(stream)
            self.assertTrue(received.endswith(b'/a'))
            self.assertIn(b'Connection: close', received)

        run_scenario(scenario)

    def test_requests_that_wait_at_the_close_are_answered(self) -> None:
        """Guards against resetting connections that wait to be accepted."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            server.drain()
            # Nothing is awaited, so the server has accepted none of them.
            callers = [_send_without_waiting(port) for _ in range(20)]
            await server.close()
            for caller in callers:
                with caller:
                    self.assertIn(b' 200 ', caller.recv(4096))

        run_scenario(scenario)

    def test_request_that_arrives_at_the_close_is_answered(self) -> None:
        """Guards against closing a connection with an unread request."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            with _send_without_waiting(port) as caller:
                await anyio.to_thread.run_sync(caller.recv, 4096)
                server.drain()
                caller.sendall(_GET)
                await server.close()
                self.assertIn(b' 200 ', caller.recv(4096))

        run_scenario(scenario)

    def test_server_goes_on_after_a_failed_accept(self) -> None:
        """Guards against the end of the process without free descriptors."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            limits = resource.getrlimit(resource.RLIMIT_NOFILE)
            with _send_without_waiting(port) as caller:
                resource.setrlimit(
                    resource.RLIMIT_NOFILE, (caller.fileno() + 1, limits[1])
                )
                try:
                    await anyio.sleep(0.1)
                finally:
                    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
                received = await anyio.to_thread.run_sync(caller.recv, 4096)
                self.assertIn(b' 200 ', received)

        run_scenario(scenario)

    def test_exception_in_one_request_does_not_affect_others(self) -> None:
        """An unexpected error is answered and must not end the process."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            for target, status in ((b'/fault', b'500'), (b'/a', b'200')):
                stream = await anyio.connect_tcp(_ADDRESS, port)
                await stream.send(_GET.replace(b'/a', target))
                received = await stream.receive()
                self.assertIn(status, received.split(b'\r\n')[0])

        run_scenario(scenario)

    def test_malformed_and_oversized_requests_are_refused(self) -> None:
        """Invalid input gets a specific status and affects no one else."""
        start = b'GET /a HTTP/1.1\r\nHost: h\r\n'
        post = start.replace(b'GET', b'POST')
        length = b'Content-Length: %d\r\n'
        end = b'\r\n'
        cases = {
            b'NONSENSE\r\n\r\n': b'400',
            b''.join((start, b'X: ', b'x' * 2000, end, end)): b'431',
            b''.join((post, length % 4000, end, b'x' * 4000)): b'413',
            b''.join(
                (
                    post,
                    length % 4,
                    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                ),
            ): b'400',
        }

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            for message, status in cases.items():
                stream = await anyio.connect_tcp(_ADDRESS, port)
                await stream.send(message)
                received = await stream.receive()
                self.assertIn(status, received.split(b'\r\n')[0])
            self.assertEqual(handler.bodies, [])

        run_scenario(scenario)

    def test_request_that_is_never_completed_times_out(self) -> None:
        """A stalled caller must not occupy a connection for long."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            stream = await anyio.connect_tcp(_ADDRESS, port)
            await stream.send(b'GET /a HTTP/1.1\r\nHo')
            received = await _read_all(stream)
            self.assertIn(b' 408 ', received)

        run_scenario(scenario)

    def test_chunked_body_is_received_completely(self) -> None:
        """Guards against truncated bodies when they are sent in chunks."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            stream = await anyio.connect_tcp(_ADDRESS, port)
            await stream.send(
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
            )
            await stream.send(b'2\r\nde\r\n0\r\n\r\n')
            await stream.receive()
            self.assertEqual(handler.bodies, [b'abcde'])

        run_scenario(scenario)


class MalformedRequestTests(unittest.TestCase):
    """A request that others could read in another way is refused."""

    def test_unclear_length_with_an_upgrade_is_refused(self) -> None:
        """Guards against a body that is taken for the next request."""
        chunked = b'Transfer-Encoding: chunked\r\n'
        length = b'Content-Length: 5\r\n'
        fields = (
            (chunked, length),
            (length, chunked),
            (length, b'Content-Length: 50\r\n'),
            (b'Transfer-Encoding: chunked, gzip\r\n',),
        )

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            for upgrade, lengths in itertools.product(_UPGRADES, fields):
                head = b''.join((_START, upgrade, *lengths, b'\r\n'))
                received = await _exchange(
                    port, b'%b0\r\n\r\n%b' % (head, _LAST_GET), 4096
                )
                self.assertTrue(received.startswith(b'HTTP/1.1 400 '))
                self.assertEqual(handler.requests, [])

        run_scenario(scenario)


class ExpectationTests(unittest.TestCase):
    """A caller that waits before it sends a body is told to go on."""

    def test_interim_response_follows_the_response_before_it(self) -> None:
        """Guards against two tasks that write to a connection.

        The second one raised an error that ended the process.
        """

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            handler.gate = anyio.Event()
            async with await anyio.connect_tcp(_ADDRESS, port) as stream:
                await stream.send(_GET + _EXPECTING)
                await handler.started.wait()
                handler.gate.set()
                received = b''
                while _CONTINUE not in received:
                    received += await stream.receive()
                self.assertTrue(received.startswith(b'HTTP/1.1 200 '))
                await stream.send(b'abcde')
                answer = await stream.receive()
                self.assertTrue(answer.startswith(b'HTTP/1.1 200 '))
            self.assertEqual(handler.bodies, [b'', b'abcde'])

        run_scenario(scenario)

    def test_no_interim_response_after_the_body(self) -> None:
        """Guards against bytes that belong to no request."""

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            async with await anyio.connect_tcp(_ADDRESS, port) as stream:
                await stream.send(b'%babcde' % _EXPECTING)
                received = await stream.receive()
                await stream.send(_LAST_GET)
                received += await _read_all(stream)
            _, _, after = received.partition(b'HTTP/1.1 200 ')
            self.assertIn(b'HTTP/1.1 200 ', after)
            self.assertNotIn(_CONTINUE, after)

        run_scenario(scenario)


class UpgradeTests(unittest.TestCase):
    """A switch of protocols that a caller asks for is ignored."""

    def test_request_with_an_upgrade_is_answered_as_without_it(self) -> None:
        """Guards against a request that ends the process.

        Its body must not be taken for the next request, nor what follows for
        bytes in the other protocol.
        """

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            for upgrade, (field, body), before in itertools.product(
                _UPGRADES, _BODIES, (b'', _GET)
            ):
                request = b'%b%b%b\r\n%b' % (_START, upgrade, field, body)
                message = b''.join((before, request, request, _LAST_GET))
                for piece_bytes in (1, len(message)):
                    handler.requests.clear()
                    received = await _exchange(port, message, piece_bytes)
                    self.assertEqual(
                        received.count(b'HTTP/1.1 200 '), 3 + bool(before)
                    )
                    self._check(handler, b'abcde' if field else b'')

        run_scenario(scenario)

    def test_connect_is_refused(self) -> None:
        """Guards against a tunnel whose bytes are taken for requests."""
        connect = b'CONNECT h:80 HTTP/1.1\r\nHost: h\r\n%b\r\n'
        fields = (b'', b'Content-Length: 5\r\n', *_UPGRADES)

        async def scenario(
            handler: FakeHandler,
            server: HttpServer,
            port: int,
        ) -> None:
            for field, first in itertools.product(fields, (b'', _GET)):
                message = connect % field
                # What follows is sent at once with the head: the server may
                # have closed the connection before a later piece.
                for sent, piece_bytes in ((message, 1), (message + _GET, 4096)):
                    handler.requests.clear()
                    received = await _exchange(port, sent, piece_bytes, first)
                    self.assertTrue(received.startswith(b'HTTP/1.1 501 '))
                    self.assertIn(b'Connection: close', received)
                    self.assertEqual(len(handler.requests), bool(first))

        run_scenario(scenario)

    def _check(self, handler: FakeHandler, body: bytes) -> None:
        *_, first, second, last = handler.requests
        self.assertEqual(last.target, b'/b')
        for request in (first, second):
            self.assertEqual((request.method, request.body), ('POST', body))
            names = [name for name, _ in request.headers]
            self.assertEqual(names.count(b'host'), 1)


class ReadAheadTests(unittest.TestCase):
    """A server reads no more than its requests need."""

    def test_waiting_requests_stop_the_caller(self) -> None:
        """Guards against reading ahead while requests wait.

        The stream of the event loop collected all that a caller sent, and no
        account knew of it.
        """

        async def scenario(
            handler: FakeHandler, _server: HttpServer, port: int
        ) -> None:
            handler.gate = anyio.Event()
            with socket.create_connection((_ADDRESS, port)) as caller:
                caller.setblocking(False)
                sent_bytes = 0
                for _ in range(1000):
                    with contextlib.suppress(BlockingIOError):
                        sent_bytes += caller.send(_GET * 5000)
                    await anyio.sleep(0)
            self.assertLess(sent_bytes, 16_000_000)

        for backend in ('asyncio', 'trio'):
            with self.subTest(backend):
                anyio.run(_run, scenario, backend=backend)
