"""Streams of connections, which read only what is asked for."""

import contextlib
import socket
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketAttribute
from anyio.lowlevel import (
    cancel_shielded_checkpoint,
    checkpoint,
    checkpoint_if_cancelled,
)


class AcceptedStream(ByteStream):
    """A TCP connection, accepted or opened by this process.

    The streams that anyio returns read ahead without a bound while
    no one waits for what they read: on asyncio they pause only after a wait.
    This one leaves what it is not asked for to the kernel.
    """

    def __init__(self, accepted: socket.socket, address: Any) -> None:
        """Take over a connected socket with the address of its peer."""
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = accepted
        # The socket no longer tells it once the peer has reset it.
        self._address = address

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """The socket and the address of its peer."""
        return {
            SocketAttribute.raw_socket: lambda: self._socket,
            SocketAttribute.remote_address: lambda: self._address,
        }

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return received bytes; see the base class.

        Raise OSError if the connection failed.
        """
        await checkpoint_if_cancelled()
        try:
            received = self._socket.recv(max_bytes)
        except BlockingIOError:
            received = await self._wait_and_receive(max_bytes)
        else:
            # Other tasks run although there is always something to receive.
            await cancel_shielded_checkpoint()
        if not received:
            raise anyio.EndOfStream
        return received

    async def send(self, item: bytes) -> None:
        """Send all bytes; see the base class.

        Raise OSError if the connection failed.
        """
        await checkpoint_if_cancelled()
        rest = memoryview(item)
        while rest:
            try:
                rest = rest[self._socket.send(rest) :]
            except BlockingIOError:
                await anyio.wait_writable(self._socket)

    async def send_eof(self) -> None:
        """End the stream in this direction."""
        self._socket.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the connection; tasks that wait for it fail."""
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
            self._socket.close()
        await checkpoint()

    async def _wait_and_receive(self, max_bytes: int) -> bytes:
        while True:
            await anyio.wait_readable(self._socket)
            with contextlib.suppress(BlockingIOError):
                return self._socket.recv(max_bytes)


def accept(listening: socket.socket) -> AcceptedStream | None:
    """Accept a connection of a listener that does not block.

    Return None if none waits any more; raise OSError if none can be accepted.
    """
    try:
        accepted, address = listening.accept()
    except BlockingIOError:
        return None
    return AcceptedStream(accepted, address)
