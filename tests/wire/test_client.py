"""Tests of HTTP client connections over loopback sockets."""

import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.wire import ConnectionPool

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
Serve = Callable[[SocketStream], Awaitable[None]]
Check = Callable[[ConnectionPool], Awaitable[None]]


async def _answer_once(stream: SocketStream) -> None:
    await stream.receive()
    await stream.send(RESPONSE)


async def _close_after_request(stream: SocketStream) -> None:
    await stream.receive()


async def _send_truncated_response(stream: SocketStream) -> None:
    await stream.receive()
    await stream.send(RESPONSE[:-1])


async def _send_without_end(
    stream: SocketStream, chunk: bytes, sent: list[int]
) -> None:
    await stream.receive()
    await stream.send(CHUNKED_HEAD)
    with suppress(anyio.BrokenResourceError):
        while sum(sent) < 50_000_000:
            sent.append(len(chunk))
            await stream.send(chunk)


async def _run_with_server(serve: Serve, check: Check) -> None:
    async def serve_and_close(stream: SocketStream) -> None:
        async with stream:
            await serve(stream)

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve_and_close)
        pool = ConnectionPool('127.0.0.1', port, limit=1)
        await check(pool)
        await pool.close()
        tasks.cancel_scope.cancel()
    await listener.aclose()


class ConnectionPoolTest(unittest.TestCase):
    """Errors report correctly whether a request may have been sent."""

    def _run(self, serve: Serve, check: Check) -> None:
        for backend in ('asyncio', 'trio'):
            with self.subTest(backend=backend):
                anyio.run(_run_with_server, serve, check, backend=backend)

    def test_closed_idle_connection_is_replaced(self) -> None:
        """Guards against sending on a connection that the peer has closed.

        The client must detect the end of stream before it sends a request.
        """

        async def check(pool: ConnectionPool) -> None:
            for _ in range(3):
                response = await pool.call('GET', '/')
                self.assertEqual(response.body, b'ok')
                await anyio.wait_all_tasks_blocked()

        self._run(_answer_once, check)

    def test_response_without_end_is_an_error(self) -> None:
        """Guards against collecting a body until the memory is used up."""
        chunks = (b'2\r\nab\r\n' * 9000, b'ea60\r\n%s\r\n' % (b'a' * 60_000))
        for chunk in chunks:
            sent: list[int] = []

            async def serve(stream: SocketStream) -> None:
                await _send_without_end(stream, chunk, sent)

            async def check(pool: ConnectionPool) -> None:
                with self.assertRaises(OutcomeUnknownError):
                    await pool.call('GET', '/', timeout_s=60)

            anyio.run(_run_with_server, serve, check)
            self.assertLess(sum(sent), 32_000_000)

    def test_close_after_request_leaves_the_outcome_unknown(self) -> None:
        """Guards against NotSentError for a request that was received."""

        async def check(pool: ConnectionPool) -> None:
            with self.assertRaises(OutcomeUnknownError):
                await pool.call('GET', '/')

        self._run(_close_after_request, check)

    def test_truncated_response_is_an_error(self) -> None:
        """Guards against accepting a truncated response as complete."""

        async def check(pool: ConnectionPool) -> None:
            with self.assertRaises(OutcomeUnknownError):
                await pool.call('GET', '/')

        self._run(_send_truncated_response, check)

    def test_refused_connection_is_not_sent(self) -> None:
        """Guards against an unknown outcome when nothing was sent."""

        async def check(_pool: ConnectionPool) -> None:
            refused = ConnectionPool('127.0.0.1', 1, limit=1)
            with self.assertRaises(NotSentError):
                await refused.call('GET', '/')

        self._run(_answer_once, check)
