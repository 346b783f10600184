"""Minimal HTTP/1.1 server based on h11 that can truncate its responses."""

import dataclasses
from collections.abc import Awaitable, Callable

import anyio
import h11
from anyio.abc import SocketStream

_RECEIVE_BYTES = 65536


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A fully received request."""

    #: Method, for example `POST`.
    method: str
    #: Request target: path and query string.
    target: str
    #: Header values by lower-case name.
    headers: dict[bytes, bytes]
    #: Complete body.
    body: bytes


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """A response; if `truncated`, the connection closes after half the body."""

    #: HTTP status code.
    status: int
    #: Complete body.
    body: bytes
    #: Whether to send only the first half of the body.
    truncated: bool = False


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServerConnection:
    """Serves an accepted connection until it closes."""

    def __init__(self, stream: SocketStream, handler: Handler) -> None:
        """Wrap an accepted stream."""
        self._stream = stream
        self._handler = handler
        self._codec = h11.Connection(h11.SERVER)

    async def serve(self) -> None:
        """Handle one request after another until the connection closes.

        A connection failure or a violation of HTTP ends the connection without
        an exception.
        """
        try:
            while await self._serve_one():
                self._codec.start_next_cycle()
        except (OSError, anyio.BrokenResourceError, h11.ProtocolError):
            return

    async def _serve_one(self) -> bool:
        request = await self._receive_request()
        if request is None:
            return False
        response = await self._handle_until_disconnect(request)
        if response is None:
            return False
        return await self._send_response(response)

    async def _handle_until_disconnect(
        self,
        request: HttpRequest,
    ) -> HttpResponse | None:
        responses: list[HttpResponse] = []
        async with anyio.create_task_group() as tasks:

            async def watch_disconnect() -> None:
                # Pipelined requests are not supported: a byte that arrives
                # here is discarded.
                try:
                    await self._stream.receive(1)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    tasks.cancel_scope.cancel()

            tasks.start_soon(watch_disconnect)
            responses.append(await self._handler(request))
            tasks.cancel_scope.cancel()
        return responses[0] if responses else None

    async def _receive_request(self) -> HttpRequest | None:
        head = await self._receive_event()
        if not isinstance(head, h11.Request):
            return None
        chunks: list[bytes] = []
        event = await self._receive_event()
        while isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            event = await self._receive_event()
        if isinstance(event, h11.EndOfMessage):
            return _build_request(head, chunks)
        return None

    async def _receive_event(self) -> object:
        event = self._codec.next_event()
        while event is h11.NEED_DATA:
            await self._receive_bytes()
            event = self._codec.next_event()
        return event

    async def _receive_bytes(self) -> None:
        try:
            received = await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            received = b''
        self._codec.receive_data(received)

    async def _send_response(self, response: HttpResponse) -> bool:
        head = h11.Response(
            status_code=response.status,
            headers=[
                (b'content-type', b'application/json'),
                (b'content-length', str(len(response.body)).encode()),
            ],
        )
        message = self._codec.send(head) or b''
        if response.truncated:
            await self._stream.send(
                message + response.body[: len(response.body) // 2]
            )
            return False
        message += self._codec.send(h11.Data(response.body)) or b''
        message += self._codec.send(h11.EndOfMessage()) or b''
        await self._stream.send(message)
        return self._codec.our_state is h11.DONE


def _build_request(head: h11.Request, chunks: list[bytes]) -> HttpRequest:
    return HttpRequest(
        head.method.decode(),
        head.target.decode(),
        dict(head.headers),
        b''.join(chunks),
    )
