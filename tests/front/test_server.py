"""Tests of the HTTP server over loopback sockets."""

import functools
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
_ADDRESS = '127.0.0.1'


class FakeHandler(BaseRequestHandler):
    """Answers once the test opens its gate."""

    def __init__(self) -> None:
        """Start with an open gate."""
        self.gate = anyio.Event()
        self.gate.set()
        self.started = anyio.Event()
        self.bodies: list[bytes] = []
        self.cancelled = 0

    def get_limits(self) -> FrontLimits:
        """Return small limits."""
        return FrontLimits(1024, 2048, 0.3, 5)

    async def handle(self, request: RawRequest) -> RawResponse:
        """Wait for the gate and answer with the target."""
        self.bodies.append(request.body)
        self.started.set()
        try:
            await self.gate.wait()
        except BaseException:
            self.cancelled += 1
            raise
        if request.target == b'/fault':
            raise ValueError('bug in a handler')
        return RawResponse(200, (), request.target)


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


def _run_scenario(scenario: Scenario) -> None:
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
            close = b'GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
            await stream.send(_GET + close)
            received = await _read_all(stream)
            self.assertLess(received.index(b'/a'), received.index(b'/b'))

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)

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

        _run_scenario(scenario)
