"""A stand-in of a server that sends given bytes for each request."""

import contextlib
from collections.abc import AsyncIterator, Iterable

import anyio
from anyio.abc import SocketAttribute, SocketStream


class ScriptedServer:
    """Sends the responses of its script in order, each in pieces."""

    def __init__(self, script: Iterable[bytes], piece_bytes: int) -> None:
        """Send pieces of `piece_bytes`; `%s` stands for the request."""
        self.connections = 0
        self._script = iter(script)
        self._piece_bytes = piece_bytes

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[int]:
        """Serve on a port of 127.0.0.1 and return the port."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            yield listener.extra(SocketAttribute.local_port)
            tasks.cancel_scope.cancel()

    async def _serve(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            try:
                # A connection stays open after each response.
                while True:
                    request = await stream.receive()
                    await self._send(stream, next(self._script), request)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def _send(
        self, stream: SocketStream, response: bytes, request: bytes
    ) -> None:
        message = response.replace(b'%s', request)
        for start in range(0, len(message), self._piece_bytes):
            await stream.send(message[start : start + self._piece_bytes])
            await anyio.sleep(0)
