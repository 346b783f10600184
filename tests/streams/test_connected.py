"""Tests of connections to servers."""

import contextlib
import socket
from collections.abc import Iterator
from unittest import TestCase

import anyio
from anyio.abc import SocketAttribute

from jacinthcart.streams import connect, count_queue_bytes

_SENT = bytes(100_000)
_BACKENDS = ('asyncio', 'trio')


class ConnectTests(TestCase):
    """A connection holds only what its user asked for."""

    def test_nothing_is_read_ahead(self) -> None:
        """Guards against received bytes that no account counts."""
        for backend in _BACKENDS:
            with self.subTest(backend):
                queued = anyio.run(_receive_one_byte, backend=backend)
                self.assertEqual(queued, len(_SENT) - 1)

    def test_failure_is_an_error_of_the_system(self) -> None:
        """Guards against an attempt that ends with an internal error."""
        with _listen() as listening:
            port = listening.getsockname()[1]
        for address in ('127.0.0.1', '::1', 'unresolved.example'):
            for backend in _BACKENDS:
                self._check_failure(address, port, backend)

    def _check_failure(self, address: str, port: int, backend: str) -> None:
        with self.subTest(address, backend=backend):
            with self.assertRaises(OSError):
                anyio.run(connect, address, port, backend=backend)


@contextlib.contextmanager
def _listen() -> Iterator[socket.socket]:
    with socket.create_server(('127.0.0.1', 0)) as listening:
        yield listening


async def _receive_one_byte() -> int:
    """Return the bytes that the kernel holds after one byte was read."""
    with _listen() as listening:
        stream = await connect(*listening.getsockname())
        async with stream:
            accepted, _ = listening.accept()
            with accepted:
                accepted.sendall(_SENT)
                raw_socket = stream.extra(SocketAttribute.raw_socket)
                await stream.receive(1)
                await anyio.sleep(0.05)
                return count_queue_bytes(raw_socket)
