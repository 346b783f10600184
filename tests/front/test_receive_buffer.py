"""Tests of the limits on what is received beside the requests."""

import socket
from typing import Any
from unittest import TestCase

import anyio

from jacinthcart.front import HttpServer
from jacinthcart.front._connection import _discard_rest
from jacinthcart.streams import RECEIVE_BUFFER_BYTES
from tests.front.test_server import FakeHandler, run_scenario


class ReceiveBufferTests(TestCase):
    """The kernel's queues count for the process, and no account knows them."""

    def test_kernel_queue_of_a_caller_is_bounded(self) -> None:
        """Guards against receive buffers that grow while they are read."""

        async def scenario(
            handler: FakeHandler, server: HttpServer, port: int
        ) -> None:
            async with await anyio.connect_tcp('127.0.0.1', port):
                while not server._connections:
                    await anyio.sleep(0)
                raw_socket = next(iter(server._connections))._socket
                reserved_bytes = raw_socket.getsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF
                )
            # Linux reserves twice the option.
            self.assertEqual(reserved_bytes, 2 * RECEIVE_BUFFER_BYTES)

        run_scenario(scenario)

    def test_rest_of_a_refused_request_is_bounded(self) -> None:
        """Guards against a refused caller that is read without end."""
        stream = _EndlessStream()
        anyio.run(_discard, stream)
        self.assertLessEqual(stream.received_bytes, 2 * 1024 * 1024)


class _EndlessStream:
    """A stream that always has received something."""

    def __init__(self) -> None:
        """Create a stream of which nothing was received."""
        self.received_bytes = 0

    async def receive(self, max_bytes: int) -> bytes:
        """Return as many bytes as are asked for."""
        await anyio.sleep(0)
        self.received_bytes += max_bytes
        return bytes(max_bytes)


async def _discard(stream: Any) -> None:
    with anyio.move_on_after(0.5):
        await _discard_rest(stream)
