"""Collects the bodies of searchers' responses."""

import abc
import io
import re
import sys
from typing import Any

import httptools

from jacinthcart.errors import MalformedResponseError, ResponseTooLargeError
from jacinthcart.routing._receive_buffer import RECEIVE_BUFFER_BYTES
from jacinthcart.routing._response_memory import BaseHeldBody, ResponseHold
from jacinthcart.wire import BodyFraming, ParsedHead

#: Limits of a body. A searcher in trouble may send without end.
_MAX_BODY_BYTES = 16 * 1024 * 1024
#: Pieces of a body, such as chunks. Each costs processor time.
_MAX_BODY_PIECES = 131_072
_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
#: Received bytes of a body above which its connection's buffers count too.
_SMALL_BODY_BYTES = 65536
#: Bytes that the kernel holds of a connection at most: twice SO_RCVBUF.
_CONNECTION_BUFFER_BYTES = 2 * RECEIVE_BUFFER_BYTES
#: The last bytes of each chunked body.
_CHUNKED_END = b'\r\n\r\n'
_LINE_FEED = 10
_LINE_ENDS = re.compile(rb'(?:\r\n)+')


class BaseResponseBody(BaseHeldBody):
    """The body of one response while it arrives."""

    #: Whether the received bytes are the content.
    is_plain = False

    def __init__(self) -> None:
        """Create a body of which nothing has arrived."""
        #: Counts the body as held while it exists; None if it is not counted.
        self.hold: ResponseHold | None = None
        self.is_complete = False
        self._content = io.BytesIO()
        #: Received bytes, including those of chunk headers and trailers.
        self._received_bytes = 0
        #: Pieces of the content that were added, such as parts of chunks.
        self.pieces = 0

    def feed(self, received: bytes) -> bytes:
        """Add bytes; return those after the body.

        Raise MalformedResponseError if the body is malformed or too large.
        """
        rest = self._feed(received)
        self._received_bytes += len(received) - len(rest)
        if (
            self._received_bytes > _MAX_BODY_BYTES
            or self.pieces > _MAX_BODY_PIECES
        ):
            raise ResponseTooLargeError('body is too large')
        return rest

    def finish(self) -> None:
        """Handle the end of the connection, which may complete the body."""

    def export_content(self) -> bytes:
        """Return what has arrived, without a copy."""
        # BytesIO hands out the buffer that it writes to.
        return self._content.getvalue()

    def compute_held_bytes(self) -> int:
        """Return the bytes of memory that the body takes.

        They include the unused part of its buffer.
        """
        return sys.getsizeof(self._content)

    def compute_buffered_bytes(self) -> int:
        """Return what its connection may hold; 0 while the body is small."""
        if self._received_bytes <= _SMALL_BODY_BYTES:
            return 0
        return min(_CONNECTION_BUFFER_BYTES, self._compute_missing_bytes())

    def _compute_missing_bytes(self) -> int:
        """Return the bytes that the body still lacks at most."""
        return _MAX_BODY_BYTES

    @abc.abstractmethod
    def _feed(self, received: bytes) -> bytes:
        """Add bytes; return those after the body."""

    def _append(self, piece: bytes) -> None:
        self._content.write(piece)
        self.pieces += 1


class _LengthBody(BaseResponseBody):
    """Body of a known length."""

    is_plain = True

    def __init__(self, content_length: int) -> None:
        """Create a body of `content_length` bytes."""
        super().__init__()
        self._content_length = content_length
        self.is_complete = not content_length

    def _feed(self, received: bytes) -> bytes:
        missing = self._compute_missing_bytes()
        self._append(received[:missing])
        self.is_complete = len(received) >= missing
        return received[missing:]

    def _compute_missing_bytes(self) -> int:
        return self._content_length - self._content.tell()


class _CloseDelimitedBody(BaseResponseBody):
    """Body that ends with the connection."""

    is_plain = True

    def finish(self) -> None:
        """Complete the body."""
        self.is_complete = True

    def _feed(self, received: bytes) -> bytes:
        self._append(received)
        return b''


class _ChunkSink:
    """Collects the pieces that the parser of a chunked body finds.

    It refers neither to the parser nor to the body: the parser refers to it,
    and a reference cycle would keep a body that is given up in memory until
    the cyclic garbage collector runs.
    """

    def __init__(self, content: io.BytesIO) -> None:
        """Create a sink that writes to `content`."""
        self.pieces = 0
        self.is_complete = False
        self._content = content

    def on_body(self, piece: bytes) -> None:
        """Add a piece of a chunk."""
        self._content.write(piece)
        self.pieces += 1

    def on_message_complete(self) -> None:
        """Complete the body."""
        self.is_complete = True


class _ChunkedBody(BaseResponseBody):
    """Body in chunks."""

    def __init__(self) -> None:
        """Create a body of which no chunk has arrived."""
        super().__init__()
        self._sink = _ChunkSink(self._content)
        self._parser: Any = httptools.HttpResponseParser(self._sink)
        self._parser.feed_data(_CHUNKED_HEAD)
        #: Last bytes that the parser was given, of a possible end.
        self._tail = b''

    def _feed(self, received: bytes) -> bytes:
        # The parser does not tell where a body ends. It is given no byte
        # after one that may be the last.
        window = self._tail + received
        start = len(self._tail)
        while start < len(window) and not self.is_complete:
            overlap = max(0, start - len(_CHUNKED_END) + 1)
            end = _find_chunked_end(window, overlap)
            self._parse(window[start:end])
            start = end
        # One more byte tells whether the line before an empty one is empty.
        self._tail = window[max(0, start - len(_CHUNKED_END)) : start]
        return window[start:]

    def _parse(self, piece: bytes) -> None:
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            raise MalformedResponseError(f'chunked body: {error}') from error
        self.is_complete = self._sink.is_complete
        self.pieces = self._sink.pieces


def _find_chunked_end(window: bytes, start: int) -> int:
    """Return where a body may end, or the length of `window`.

    The line before the empty line at the end is never empty. A chunk may
    contain many empty lines, each of which would cost a call.
    """
    found = window.find(_CHUNKED_END, start)
    while found > 0 and window[found - 1] == _LINE_FEED:
        ends = _LINE_ENDS.match(window, found)
        found = window.find(_CHUNKED_END, ends.end() if ends else found + 1)
    return len(window) if found < 0 else found + len(_CHUNKED_END)


def create_body(head: ParsedHead, *, has_body: bool) -> BaseResponseBody:
    """Return the empty body of a response; raise MalformedResponseError.

    Without `has_body` the response ends with its head.
    """
    if not has_body:
        return _LengthBody(0)
    if head.framing is BodyFraming.CHUNKED:
        return _ChunkedBody()
    if head.framing is BodyFraming.CLOSE:
        return _CloseDelimitedBody()
    if head.content_length > _MAX_BODY_BYTES:
        raise ResponseTooLargeError('body is too large')
    return _LengthBody(head.content_length)
