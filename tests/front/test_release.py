"""Tests of what is freed when the connection of a caller ends."""

import gc
import weakref
from collections.abc import Awaitable, Callable
from unittest import TestCase, mock

import anyio
from anyio.abc import SocketStream

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front import (
    BaseRequestHandler,
    CallerMemory,
    CallerMemoryParameters,
    RawRequest,
    RawResponse,
)
from jacinthcart.front._connection import ServerConnection
from jacinthcart.program import read_boot_clock
from jacinthcart.streams import ProcessingBudget
from jacinthcart.telemetry import Metrics, create_logger

_HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
#: Beginnings of requests that end in a body, a malformed chunk, a body that is
#: too large, an upgrade and a complete request.
_BEGINNINGS = (
    b'%b3\r\nabc' % _HEAD,
    b'%b3\r\nabc\r\nx' % _HEAD,
    b'%b1000\r\n%b' % (_HEAD, bytes(4096)),
    b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n',
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n',
)


class _Handler(BaseRequestHandler):
    """Answers each request at once."""

    def get_limits(self) -> FrontLimits:
        """Return small limits."""
        return FrontLimits(1024, 2048, 0.3, 5)

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return an empty answer."""
        return RawResponse(200)


class ReleaseTests(TestCase):
    """The account and the memory of a connection end together."""

    def test_parser_is_freed_with_its_connection(self) -> None:
        """Guards against requests that no account counts any more.

        They would be freed only when the cyclic collector runs.
        """
        for beginning in _BEGINNINGS:
            with self.subTest(beginning[-20:]):
                gc.collect()
                gc.disable()
                try:
                    alive, held_bytes = anyio.run(_serve, beginning)
                finally:
                    gc.enable()
                self.assertEqual(alive, [])
                self.assertEqual(held_bytes, 0)


def _create_receive(beginning: bytes) -> Callable[[int], Awaitable[bytes]]:
    parts = [beginning]

    async def receive(_max_bytes: int) -> bytes:
        await anyio.sleep(0)
        if not parts:
            raise anyio.EndOfStream
        return parts.pop()

    return receive


async def _serve(beginning: bytes) -> tuple[list[str], int]:
    """Serve a connection until its caller disconnects.

    Return what is still alive of it and the bytes that are held for it.
    """
    logger = create_logger('test')
    memory = CallerMemory(
        CallerMemoryParameters(10_000_000, 10_000_000),
        read_boot_clock,
        Metrics(),
        logger,
    )
    stream = mock.MagicMock(spec=SocketStream)
    stream.extra.return_value = mock.MagicMock()
    # The mock would keep an error, whose traceback refers to the connection.
    stream.receive = _create_receive(beginning)
    connection = ServerConnection(
        stream,
        _Handler(),
        read_boot_clock,
        logger,
        memory,
        ProcessingBudget(),
    )
    references = [
        weakref.ref(connection),
        weakref.ref(connection._account),
        weakref.ref(connection._parser),
    ]
    await connection.run()
    del connection, stream
    await anyio.sleep(0)
    alive = [type(one()).__name__ for one in references if one() is not None]
    return alive, memory.held_bytes
