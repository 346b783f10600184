"""A keep-alive HTTP/1.1 client connection based on h11."""

import dataclasses
import functools
from collections.abc import Iterable

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.streams import (
    COPY_SLICE_BYTES,
    SLICE_BYTES,
    STREAM_FAILURES,
    MessageProcessing,
    is_readable,
)
from jacinthcart.wire._head import (
    BodyFraming,
    ParsedHead,
    ResponseHeadParser,
)
from jacinthcart.wire._limits import HeldBody, get_client_limits

_RECEIVE_BUFFER_BYTES = COPY_SLICE_BYTES
#: Bytes of a chunked body that are decoded at once after a part of more than
#: `_MAX_SPARSE_PIECES` pieces. The codec takes more than 10 us for each chunk,
#: and there may be 170 in them.
_DENSE_SLICE_BYTES = 1024
_MAX_SPARSE_PIECES = 32
_STATUS_OK = 200
#: Maximum size of a body unless a call states another one. A server in trouble
#: may send without end.
_MAX_BODY_BYTES = 16 * 1024 * 1024
#: Chunks of a body. Each costs more than 10 us of processor time.
_MAX_CHUNKS = 32_768
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
        self._source = host
        self._limits = get_client_limits()
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

        Raise OutcomeUnknownError if its body is larger than `max_body_bytes`
        or gives way to those of other connections.
        """
        if not self.is_reusable:
            raise NotSentError('connection closed by the server')
        message = self._encode_request(method, target, body, headers)
        self._is_idle = False
        held = self._limits.memory.open()
        try:
            await self._stream.send(message)
            response = await self._receive_response(held, max_body_bytes)
        except _CONNECTION_ERRORS as error:
            # Errors of the codec refer to their own traceback, whose frames
            # would keep what was received until the cyclic collector runs.
            raise OutcomeUnknownError(
                f'{method} {target}: {type(error).__name__}',
            ) from error.with_traceback(None)
        finally:
            held.release()
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

    async def _receive_response(
        self, held: HeldBody, max_body_bytes: int
    ) -> HttpResponse:
        head = await self._receive_head()
        # The codec reads the head, too, as it decodes the body.
        self._codec.receive_data(head.raw)
        if not isinstance(self._codec.next_event(), h11.Response):
            raise h11.RemoteProtocolError('response is malformed')
        if head.content_length > max_body_bytes:
            raise h11.RemoteProtocolError('response body is too large')
        decoder = _BodyDecoder(self._codec, held, max_body_bytes)
        rest = self._heads.take_rest()
        first = rest[:SLICE_BYTES]
        decoder.decode(first)
        rest = rest[SLICE_BYTES:]
        if rest or not decoder.is_complete:
            processing = self._limits.processing.open(self._source)
            processing.record_free(len(first))
            is_chunked = head.framing is BodyFraming.CHUNKED
            await self._receive_rest(
                decoder, rest, processing, is_chunked=is_chunked
            )
        return HttpResponse(
            head.status,
            dict(head.headers),
            bytes(held.content),
        )

    async def _receive_head(self) -> ParsedHead:
        received = await self._stream.receive(_RECEIVE_BUFFER_BYTES)
        head = self._heads.feed(received)
        if head is not None:
            return head
        processing = self._limits.processing.open(self._source)
        while head is None:
            received = await self._stream.receive(_RECEIVE_BUFFER_BYTES)
            head = await processing.process(
                len(received),
                functools.partial(self._heads.feed, received),
                is_copied=True,
            )
        return head

    async def _receive_rest(
        self,
        decoder: '_BodyDecoder',
        rest: bytes,
        processing: MessageProcessing,
        *,
        is_chunked: bool,
    ) -> None:
        """Decode `rest` and what else arrives of a body."""
        await decoder.feed(rest, processing, is_chunked=is_chunked)
        while not decoder.is_complete:
            try:
                rest = await self._stream.receive(_RECEIVE_BUFFER_BYTES)
            except anyio.EndOfStream:
                decoder.finish()
                return
            await decoder.feed(rest, processing, is_chunked=is_chunked)

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


class _BodyDecoder:
    """Decodes the body of one response."""

    def __init__(
        self, codec: h11.Connection, body: HeldBody, max_body_bytes: int
    ) -> None:
        """Initialise with a codec that has read the head."""
        self.is_complete = False
        self._codec = codec
        self._body = body
        self._max_body_bytes = max_body_bytes
        self._chunks = 0
        #: Pieces in the part that was decoded last.
        self._pieces = 0

    async def feed(
        self,
        received: bytes,
        processing: MessageProcessing,
        *,
        is_chunked: bool,
    ) -> None:
        """Decode bytes in turns; raise h11.RemoteProtocolError.

        Bytes after the body are left to the codec.
        """
        start = 0
        while start < len(received) and not self.is_complete:
            slice_bytes = COPY_SLICE_BYTES
            if is_chunked:
                is_dense = self._pieces > _MAX_SPARSE_PIECES
                slice_bytes = _DENSE_SLICE_BYTES if is_dense else SLICE_BYTES
            part = received[start : start + slice_bytes]
            start += len(part)
            await processing.process(
                len(part),
                functools.partial(self.decode, part),
                is_copied=not is_chunked,
            )
        if start < len(received):
            self._codec.receive_data(received[start:])

    def decode(self, part: bytes) -> None:
        """Decode bytes at once; raise h11.RemoteProtocolError."""
        if part:
            self._codec.receive_data(part)
        self._pieces = 0
        event = self._codec.next_event()
        while isinstance(event, h11.Data):
            self._chunks += event.chunk_start
            self._take_piece(event.data)
            event = self._codec.next_event()
        if event is h11.NEED_DATA:
            return
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError('response is incomplete')
        self.is_complete = True

    def finish(self) -> None:
        """Handle the end of the connection, which may complete the body."""
        self._codec.receive_data(b'')
        self.decode(b'')

    def _take_piece(self, piece: bytes) -> None:
        self._pieces += 1
        size = len(self._body.content) + len(piece)
        if size > self._max_body_bytes or self._chunks > _MAX_CHUNKS:
            raise h11.RemoteProtocolError('response body is too large')
        if not self._body.is_discarded:
            self._body.append(piece)
        if self._body.is_discarded:
            raise h11.RemoteProtocolError('response gave way to others')
