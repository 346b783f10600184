"""A keep-alive HTTP/1.1 client connection based on h11."""

import dataclasses
from collections.abc import Iterable

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.streams import STREAM_FAILURES, is_readable
from jacinthcart.wire._head import ParsedHead, ResponseHeadParser

_RECEIVE_BUFFER_BYTES = 65536
_STATUS_OK = 200
#: Maximum size of a body unless a call states another one. A server in trouble
#: may send without end.
_MAX_BODY_BYTES = 16 * 1024 * 1024
#: Pieces of a body, such as chunks. Each costs processor time.
_MAX_BODY_PIECES = 131_072
_CONNECTION_ERRORS = (
    *STREAM_FAILURES,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
)


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """An HTTP response with its complete body."""

    #: HTTP status code.
    status: int
    #: Header values by lower-case name.
    headers: dict[bytes, bytes]
    #: Complete response body.
    body: bytes

    @property
    def is_success(self) -> bool:
        """Return whether the status is 200."""
        return self.status == _STATUS_OK


class HttpConnection:
    """A connection that carries one request at a time.

    Errors tell whether bytes of the request may have been sent:
    NotSentError if none were, OutcomeUnknownError otherwise. After a failed
    or cancelled request the connection is not reusable and must be closed.
    Requests are never retried automatically.
    """

    def __init__(self, stream: SocketStream, host: str) -> None:
        """Wrap a connected stream; use `open` to create a connection."""
        self._stream = stream
        self._host = host.encode()
        self._codec = h11.Connection(h11.CLIENT)
        self._heads = ResponseHeadParser()
        self._is_idle = True
        self._raw_socket = stream.extra(SocketAttribute.raw_socket)

    @classmethod
    async def open(
        cls,
        address: str,
        port: int,
        timeout_s: float = 1,
    ) -> 'HttpConnection':
        """Connect; raise NotSentError on failure or timeout."""
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(address, port)
        except (OSError, TimeoutError) as error:
            raise NotSentError(f'connect {address}:{port}: {error}') from error
        return cls(stream, f'{address}:{port}')

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._is_idle and not is_readable(self._raw_socket)

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: Iterable[tuple[bytes, bytes]] = (),
        max_body_bytes: int = _MAX_BODY_BYTES,
    ) -> HttpResponse:
        """Send one request and return its complete response.

        Raise OutcomeUnknownError if its body is larger than `max_body_bytes`.
        """
        if not self.is_reusable:
            raise NotSentError('connection closed by the server')
        message = self._encode_request(method, target, body, headers)
        self._is_idle = False
        try:
            await self._stream.send(message)
            response = await self._receive_response(max_body_bytes)
        except _CONNECTION_ERRORS as error:
            raise OutcomeUnknownError(
                f'{method} {target}: {type(error).__name__}',
            ) from error
        self._prepare_next_request()
        return response

    async def close(self) -> None:
        """Close the connection immediately, without waiting for the peer."""
        self._is_idle = False
        await anyio.aclose_forcefully(self._stream)

    def _encode_request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> bytes:
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                (b'host', self._host),
                (b'content-type', b'application/json'),
                (b'content-length', str(len(body)).encode()),
                *headers,
            ],
        )
        return b''.join(
            self._codec.send(event) or b''
            for event in (request, h11.Data(body), h11.EndOfMessage())
        )

    async def _receive_response(self, max_body_bytes: int) -> HttpResponse:
        head = await self._receive_head()
        # The codec reads the head, too, as it decodes the body.
        self._codec.receive_data(head.raw)
        if not isinstance(self._codec.next_event(), h11.Response):
            raise h11.RemoteProtocolError('response is malformed')
        rest = self._heads.take_rest()
        if rest:
            self._codec.receive_data(rest)
        body = bytearray()
        pieces = 0
        event = await self._receive_event()
        while isinstance(event, h11.Data):
            body += event.data
            pieces += 1
            if len(body) > max_body_bytes or pieces > _MAX_BODY_PIECES:
                raise h11.RemoteProtocolError('response body is too large')
            event = await self._receive_event()
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError('response is incomplete')
        return HttpResponse(
            head.status,
            dict(head.headers),
            bytes(body),
        )

    async def _receive_head(self) -> ParsedHead:
        head = None
        while head is None:
            received = await self._stream.receive(_RECEIVE_BUFFER_BYTES)
            head = self._heads.feed(received)
        return head

    async def _receive_event(self) -> object:
        event = self._codec.next_event()
        while event is h11.NEED_DATA:
            await self._receive_bytes()
            event = self._codec.next_event()
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError('connection closed by the server')
        return event

    async def _receive_bytes(self) -> None:
        try:
            received = await self._stream.receive(_RECEIVE_BUFFER_BYTES)
        except anyio.EndOfStream:
            received = b''
        self._codec.receive_data(received)

    def _prepare_next_request(self) -> None:
        if self._codec.our_state is h11.MUST_CLOSE:
            return
        if self._codec.their_state is not h11.DONE:
            return
        # Bytes after the response belong to no request.
        if self._codec.trailing_data[0]:
            return
        self._codec.start_next_cycle()
        self._is_idle = True
