"""Tests of the limit on what the kernel receives from searchers."""

import array
import fcntl
import socket
import termios
from unittest import TestCase, mock

import anyio
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import ConnectionParameters, SearcherPools
from jacinthcart.routing._receive_buffer import (
    RECEIVE_BUFFER_BYTES,
    limit_receive_buffer,
)
from tests.support import create_searcher

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_READ_BYTES = 8_000_000


class ReceiveBufferTests(TestCase):
    """The kernel's queues count for the process, and no account knows them."""

    def test_queue_of_an_endless_response_is_bounded(self) -> None:
        """Guards against a receive buffer that grows while it is read."""
        queued_bytes = anyio.run(_measure_queue)
        self.assertLessEqual(queued_bytes, 2 * RECEIVE_BUFFER_BYTES)

    def test_socket_that_refuses_the_option_is_tolerated(self) -> None:
        """Guards against an unhandled error on a connection that failed."""
        stream = mock.create_autospec(SocketStream, instance=True)
        raw_socket = mock.create_autospec(socket.socket, instance=True)
        raw_socket.setsockopt.side_effect = OSError
        stream.extra.return_value = raw_socket
        limit_receive_buffer(stream)
        raw_socket.setsockopt.assert_called_once()


async def _measure_queue() -> int:
    """Return the bytes that the kernel holds after a part was read."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    pools = SearcherPools(
        PlatformSearcherCodec(), anyio.current_time, ConnectionParameters()
    )
    searcher = create_searcher(
        's', port=listener.extra(SocketAttribute.local_port)
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _send_endless)
        connection = await pools.acquire(searcher, 'a', at_most_once=False)
        stream = connection._stream
        read_bytes = 0
        while read_bytes < _READ_BYTES:
            read_bytes += len(await stream.receive())
        await anyio.sleep(0.3)
        queued = array.array('i', [0])
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        fcntl.ioctl(raw_socket.fileno(), termios.FIONREAD, queued)
        await connection.close()
        tasks.cancel_scope.cancel()
    return queued[0]


async def _send_endless(stream: SocketStream) -> None:
    async with stream:
        await stream.send(_HEAD)
        while True:
            await stream.send(bytes(_READ_BYTES))
