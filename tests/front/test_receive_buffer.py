"""Tests of the limits on what is received beside the requests."""

import socket
from unittest import TestCase

import anyio

from jacinthcart.front import HttpServer
from jacinthcart.streams import RECEIVE_BUFFER_BYTES
from tests.front.test_server import FakeHandler, run_scenario

_UPLOAD_BYTES = 10_000_000


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

    def test_refusal_of_a_large_upload_is_not_lost(self) -> None:
        """Guards against a connection that is reset while the caller sends."""

        async def scenario(
            handler: FakeHandler, server: HttpServer, port: int
        ) -> None:
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(
                    b'POST / HTTP/1.1\r\nHost: h\r\n'
                    b'Content-Length: %d\r\n\r\n' % _UPLOAD_BYTES
                )
                await stream.send(bytes(_UPLOAD_BYTES))
                status_line = await stream.receive(12)
            self.assertEqual(status_line, b'HTTP/1.1 413')

        run_scenario(scenario)
