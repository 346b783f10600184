"""Parser of the requests of one connection."""

import functools
from collections.abc import Callable
from typing import Any

import anyio
import httptools
from anyio.lowlevel import checkpoint

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front._memory import ConnectionAccount
from jacinthcart.front._messages import RawRequest
from jacinthcart.program import Clock
from jacinthcart.streams import SLICE_BYTES, MessageProcessing

#: Bytes that are parsed at once. Requests in them may take many times their
#: bytes, so reading pauses in between if enough requests wait.
_PARSE_BYTES = 16384
#: Bytes of the first part of a connection.
_FIRST_PARSE_BYTES = 1024
#: Callbacks in a part above which the next part is parsed in turns. Each takes
#: some microseconds, and the smallest request or chunk takes 6 bytes or more.
_MAX_SPARSE_PIECES = 128
#: Complete requests of a connection that may wait behind the one in progress.
#: No more are read from a caller that does not wait for its answers.
_MAX_WAITING_REQUESTS = 8
#: Bytes of the objects that hold one header, in addition to its contents.
_HEADER_OVERHEAD_BYTES = 160
#: The same for a part of a body.
_CHUNK_OVERHEAD_BYTES = 48
#: The same for a request.
_REQUEST_OVERHEAD_BYTES = 1024
_STATUS_BODY_TOO_LARGE = 413
_STATUS_HEADERS_TOO_LARGE = 431
_STATUS_NOT_IMPLEMENTED = 501


class CompletedRequests:
    """The complete requests of a connection that wait to be answered."""

    def __init__(self) -> None:
        """Start without a request."""
        #: Set when requests were taken, after which more may be parsed.
        self.taken = anyio.Event()
        self._waiting: list[RawRequest] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def has_enough(self) -> bool:
        """Whether no more is to be parsed until requests are taken."""
        return len(self._waiting) >= _MAX_WAITING_REQUESTS

    def add(self, request: RawRequest) -> None:
        """Add a request."""
        self._waiting.append(request)

    def take(self) -> RawRequest:
        """Remove and return the first request; raise IndexError without one."""
        had_enough = self.has_enough
        request = self._waiting.pop(0)
        if had_enough and not self.has_enough:
            self.taken.set()
            self.taken = anyio.Event()
        return request


class RequestParser:
    """Parses the bytes of a connection into complete requests."""

    def __init__(
        self,
        clock: Clock,
        get_limits: Callable[[], FrontLimits],
        account: ConnectionAccount,
    ) -> None:
        """Start without a request in progress."""
        #: Status that reports an exceeded limit; 0 if there is none.
        self.violation_status = 0
        self.completed = CompletedRequests()
        self.is_receiving = False
        #: Clock time in seconds at which the request in progress began.
        self._begun_at = 0.0
        self._has_head = False
        self.header_bytes = 0
        self.body_bytes = 0
        #: Callbacks of the part that was parsed last.
        self.pieces = 0
        #: Requests that began in it.
        self.begun = 0
        #: Whether the client waits for an interim response before it sends the
        #: body of the request in progress.
        self._expects_continue = False
        self.account = account
        #: Bytes that are held but not yet in the account.
        self._unrecorded_bytes = 0
        self._clock = clock
        self._get_limits = get_limits
        self._parser: Any = httptools.HttpRequestParser(self)
        #: Bytes received since the last complete part of a request.
        self._pending_bytes = 0
        #: How many of them are in the account.
        self._recorded_pending_bytes = 0
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise httptools.HttpParserError."""
        rest = received
        self.pieces = 0
        self.begun = 0
        while rest and not self.violation_status:
            rest = self._parse(rest)
        self._record()

    def stop(self, status: int) -> None:
        """Drop the request in progress and all that follow."""
        self.violation_status = status
        # It refers to this object, which would be kept with all that it holds
        # until the cyclic collector runs.
        self._parser = None
        self._target = b''
        self._headers = []
        self._chunks = []

    def compute_wait_s(self) -> float:
        """Return how long the client may take for what it sends next."""
        limits = self._get_limits()
        if not self.is_receiving:
            return limits.idle_timeout_s
        if self._has_head:
            return limits.header_timeout_s
        elapsed_s = self._clock() - self._begun_at
        return max(0, limits.header_timeout_s - elapsed_s)

    def take_expectation(self) -> bool:
        """Return once whether the client waits before it sends a body."""
        is_expected = self._expects_continue and self._has_head
        if is_expected:
            self._expects_continue = False
        return is_expected

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._pending_bytes = 0
        self.pieces += 1
        self.begun += 1
        self.is_receiving = True
        self._begun_at = self._clock()
        self._has_head = False
        self._expects_continue = False
        self._unrecorded_bytes += _REQUEST_OVERHEAD_BYTES
        self.header_bytes = 0
        self.body_bytes = 0
        self._target = b''
        self._headers = []
        self._chunks = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        if self.violation_status:
            return
        self._pending_bytes = 0
        self._target += url
        self.header_bytes += len(url)
        self._unrecorded_bytes += len(url)
        self._check_header_limit(self.header_bytes)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Append a header and check the header limit."""
        if self.violation_status:
            return
        self._pending_bytes = 0
        self.pieces += 1
        lowered = name.lower()
        size = len(name) + len(content)
        self.header_bytes += size + 4
        self._unrecorded_bytes += size + _HEADER_OVERHEAD_BYTES
        self._headers.append((lowered, content))
        self._check_header_limit(self.header_bytes)
        if lowered == b'expect' and content.lower() == b'100-continue':
            self._expects_continue = True

    def on_headers_complete(self) -> None:
        """Refuse the request if there is no memory for it."""
        self._has_head = True
        self._record()

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body and check the body limit."""
        if self.violation_status:
            return
        self._pending_bytes = 0
        self.pieces += 1
        self.body_bytes += len(chunk)
        self._unrecorded_bytes += len(chunk) + _CHUNK_OVERHEAD_BYTES
        self._chunks.append(chunk)
        if self.body_bytes > self._get_limits().max_body_bytes:
            self.violation_status = _STATUS_BODY_TOO_LARGE

    def on_message_complete(self) -> None:
        """Add the request to `completed` unless it exceeded a limit.

        A request that asks for another protocol is completed later, as the
        parser takes all bytes after its head for that protocol.
        """
        self._pending_bytes = 0
        self.is_receiving = False
        self._expects_continue = False
        self._record()
        if self.violation_status or self._parser.should_upgrade():
            return
        held_bytes = self.account.incoming_bytes
        self.account.complete_incoming()
        self.completed.add(
            RawRequest(
                self._parser.get_method().decode(),
                self._target,
                tuple(self._headers),
                b''.join(self._chunks),
                self._clock(),
                self._parser.should_keep_alive(),
                held_bytes,
            ),
        )
        self._headers = []
        self._chunks = []

    def _record(self) -> None:
        # The parser holds the pending bytes only until it reports them.
        change_bytes = self._unrecorded_bytes
        change_bytes += self._pending_bytes - self._recorded_pending_bytes
        self._unrecorded_bytes = 0
        self._recorded_pending_bytes = self._pending_bytes
        # The request may be refused meanwhile; then it holds nothing.
        if change_bytes and not self.violation_status:
            self.account.receive(change_bytes)

    def _parse(self, received: bytes) -> bytes:
        """Parse bytes; return those that are still to be parsed."""
        self._pending_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade()
            return received[upgrade.args[0] :]
        # The parser holds a header until it is complete.
        self._check_header_limit(self._pending_bytes)
        return b''

    def _check_header_limit(self, held_bytes: int) -> None:
        if held_bytes > self._get_limits().max_header_bytes:
            self.violation_status = _STATUS_HEADERS_TOO_LARGE

    def _ignore_upgrade(self) -> None:
        """Parse the last head again as if it did not ask for an upgrade.

        A server may ignore `Upgrade` (RFC 9110, section 7.8). CONNECT is not
        implemented.
        """
        if self.violation_status:
            return
        method = self._parser.get_method()
        if method == b'CONNECT':
            self.violation_status = _STATUS_NOT_IMPLEMENTED
            return
        version = self._parser.get_http_version().encode()
        lines = [b'%b %b HTTP/%b' % (method, self._target, version)]
        lines.extend(
            b'%b: %b' % header
            for header in self._headers
            if header[0] != b'upgrade'
        )
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b'%b\r\n\r\n' % b'\r\n'.join(lines))


class PartParser:
    """Parses what is received in parts, in turns if it has many pieces."""

    def __init__(
        self, parser: RequestParser, processing: MessageProcessing
    ) -> None:
        """Initialise with the parser and the processing of a connection."""
        self._parser = parser
        self._processing = processing
        self._is_dense = False
        #: Bytes of the next part. It grows, as new connections are parsed
        #: without a limit and callers may open many of them.
        self._part_bytes = _FIRST_PARSE_BYTES

    async def parse(self, received: bytes, start: int) -> int:
        """Parse the next part and return its end."""
        is_dense = self._is_dense
        end = start + self._part_bytes
        part = received[start:end]
        if is_dense:
            # What was received, but not parsed, gives way like a request that
            # is not complete.
            self._parser.account.receive(len(received))
            await self._processing.process(
                len(part),
                functools.partial(self._parse_held, part, len(received)),
            )
        else:
            self._parser.feed(part)
            self._processing.record_free(len(part))
        self._set_next(len(part))
        if self._is_dense and not is_dense:
            # The part was parsed in one go. Others run before the next one.
            await checkpoint()
        return end

    def _set_next(self, part_bytes: int) -> None:
        sparse_pieces = _compute_sparse_pieces(
            part_bytes, is_dense=self._is_dense
        )
        is_pipelined = self._parser.begun > 1
        self._is_dense = is_pipelined or self._parser.pieces > sparse_pieces
        if self._is_dense:
            self._part_bytes = SLICE_BYTES
        else:
            self._part_bytes = min(_PARSE_BYTES, 4 * self._part_bytes)

    def _parse_held(self, part: bytes, held_bytes: int) -> None:
        # A request that was refused meanwhile holds nothing.
        if not self._parser.violation_status:
            self._parser.account.receive(-held_bytes)
            self._parser.feed(part)


def _compute_sparse_pieces(part_bytes: int, *, is_dense: bool) -> int:
    """Return the pieces up to which the part after this one takes no turn.

    `is_dense` states whether this part took a turn. A head is shorter than a
    slice and has many pieces for its bytes.
    """
    head_bytes = SLICE_BYTES - 1 if is_dense else SLICE_BYTES
    if part_bytes <= head_bytes:
        return _MAX_SPARSE_PIECES
    return _MAX_SPARSE_PIECES * part_bytes // _PARSE_BYTES
