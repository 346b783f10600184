"""Server side of one HTTP/1.1 connection."""

import abc
import dataclasses
import functools
import http
import types
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import anyio
import httptools
from anyio.abc import ByteStream, SocketAttribute
from anyio.lowlevel import checkpoint

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front._memory import (
    BaseAccountHolder,
    CallerMemory,
    ConnectionAccount,
)
from jacinthcart.program import Clock
from jacinthcart.streams import (
    SLICE_BYTES,
    STREAM_FAILURES,
    MessageProcessing,
    ProcessingBudget,
    is_closed_by_peer,
    is_readable,
)
from jacinthcart.telemetry import Logger

#: As many bytes as the event loop reads at once. With fewer, the rest would
#: remain in a queue of the stream.
_RECEIVE_BYTES = 262144
#: Bytes that are parsed at once. Requests in them may take many times their
#: bytes, so reading pauses in between if enough requests wait.
_PARSE_BYTES = 16384
#: Callbacks in a part above which the next part is parsed in turns. Each takes
#: some microseconds, and the smallest request or chunk takes 6 bytes or more.
_MAX_SPARSE_PIECES = 128
#: Bytes of an answer that are handed to the transport at once. It copies what
#: the caller does not take.
_SEND_BYTES = 32768
#: Seconds in which a caller must take such a part of its answer.
_SEND_TIMEOUT_S = 10.0
#: Complete requests of a connection that may wait behind the one in progress.
#: No more are read from a caller that does not wait for its answers.
_MAX_WAITING_REQUESTS = 8
#: Seconds between checks for a disconnect while they wait and nothing is read.
_DISCONNECT_CHECK_S = 0.25
#: Bytes of the objects that hold one header, in addition to its contents.
_HEADER_OVERHEAD_BYTES = 160
#: The same for a part of a body.
_CHUNK_OVERHEAD_BYTES = 48
#: The same for a request.
_REQUEST_OVERHEAD_BYTES = 1024
#: Seconds for which the rest of a refused request is received and dropped:
#: closing with unread bytes would reset the connection, and the caller would
#: lose the refusal.
_DISCARD_TIMEOUT_S = 1.0
_CONNECTION_FAILURES = (*STREAM_FAILURES, anyio.EndOfStream)
_STATUS_BAD_REQUEST = 400
_STATUS_TIMEOUT = 408
_STATUS_BODY_TOO_LARGE = 413
_STATUS_HEADERS_TOO_LARGE = 431
_STATUS_INTERNAL_ERROR = 500
_STATUS_NOT_IMPLEMENTED = 501
_STATUS_NOT_RUN = 503
_PHRASE_BY_STATUS = types.MappingProxyType(
    {one.value: one.phrase for one in http.HTTPStatus},
)
#: Statuses of responses without a body. A length of 0 is not allowed with
#: 204 and says something else with 304 (RFC 9110, section 8.6).
_BODYLESS_STATUSES = frozenset((204, 304))
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A complete request as received."""

    method: str
    #: Path and query string.
    target: bytes
    #: Headers in order, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]
    #: Complete body.
    body: bytes
    #: Time in seconds at which the request was complete.
    received_at: float
    #: Whether the client keeps the connection open for further requests.
    is_keep_alive: bool
    #: Bytes that are held for the request until it is answered.
    held_bytes: int = 0

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self._split_target()[0]

    @property
    def query(self) -> dict[str, str]:
        """The query parameters; the last value of a name wins."""
        return dict(parse_qsl(self._split_target()[2]))

    def _split_target(self) -> tuple[str, str, str]:
        return self.target.decode('latin-1').partition('?')


@dataclasses.dataclass(frozen=True)
class RawResponse:
    """A response to be written."""

    status: int
    #: Headers, without `Connection`, and without `Content-Length` unless this
    #: is the response to a HEAD request.
    headers: tuple[tuple[bytes, bytes], ...] = ()
    #: Complete body.
    body: bytes = b''


class BaseRequestHandler(abc.ABC):
    """Answers complete requests."""

    @abc.abstractmethod
    async def handle(self, request: RawRequest) -> RawResponse:
        """Return the response; cancelled if the client disconnects."""

    @abc.abstractmethod
    def get_limits(self) -> FrontLimits:
        """Return the limits in force."""

    def create_memory_refusal(self) -> RawResponse:
        """Return the refusal of a request that there is no memory to read."""
        return RawResponse(_STATUS_NOT_RUN)


class _RequestParser:
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
        self.completed: list[RawRequest] = []
        self.is_receiving = False
        #: Clock time in seconds at which the request in progress began.
        self._begun_at = 0.0
        self._has_head = False
        self.header_bytes = 0
        self.body_bytes = 0
        #: Callbacks of the part that was parsed last.
        self.pieces = 0
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
        self.completed.append(
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


class _PartParser:
    """Parses what is received in parts, in turns if it has many pieces."""

    def __init__(
        self, parser: _RequestParser, processing: MessageProcessing
    ) -> None:
        """Initialise with the parser and the processing of a connection."""
        self._parser = parser
        self._processing = processing
        self._is_dense = False

    async def parse(self, received: bytes, start: int) -> int:
        """Parse the next part and return its end."""
        is_dense = self._is_dense
        end = start + (SLICE_BYTES if is_dense else _PARSE_BYTES)
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
        self._is_dense = self._parser.pieces > _compute_sparse_pieces(len(part))
        if self._is_dense and not is_dense:
            # The part was parsed in one go. Others run before the next one.
            await checkpoint()
        return end

    def _parse_held(self, part: bytes, held_bytes: int) -> None:
        # A request that was refused meanwhile holds nothing.
        if not self._parser.violation_status:
            self._parser.account.receive(-held_bytes)
            self._parser.feed(part)


def _compute_sparse_pieces(part_bytes: int) -> int:
    """Return the pieces up to which the part after this one takes no turn.

    A head is shorter than a slice and has many pieces for its bytes.
    """
    if part_bytes < SLICE_BYTES:
        return _MAX_SPARSE_PIECES
    return _MAX_SPARSE_PIECES * part_bytes // _PARSE_BYTES


def _has_enough(waiting: list[RawRequest]) -> bool:
    """Return whether no more is to be parsed until a request is taken."""
    return len(waiting) >= _MAX_WAITING_REQUESTS


def _describe_caller(stream: ByteStream) -> str:
    """Return the address of a caller, without its port."""
    address = stream.extra(SocketAttribute.remote_address)
    return str(address[0]) if address else ''


def _release(parser: _RequestParser, account: ConnectionAccount) -> None:
    """Drop what a connection that ends holds, and close its account."""
    parser.stop(_STATUS_NOT_RUN)
    account.close()


class _Writer:
    """Writes messages to the client of a connection."""

    def __init__(self, stream: ByteStream, account: ConnectionAccount) -> None:
        """Initialise with the stream and the account of the connection."""
        self._stream = stream
        self._account = account

    async def write(self, message: bytes) -> bool:
        """Return whether the client took the message in time."""
        size = len(message)
        # The part in progress is held twice more, here and by the transport.
        self._account.start_answer(size + 2 * min(size, _SEND_BYTES))
        try:
            for start in range(0, size, _SEND_BYTES):
                if start:
                    self._account.record_progress()
                is_taken = False
                with anyio.move_on_after(_SEND_TIMEOUT_S):
                    await self._stream.send(
                        message[start : start + _SEND_BYTES]
                    )
                    is_taken = True
                if not is_taken:
                    return False
        except _CONNECTION_FAILURES:
            return False
        finally:
            self._account.release_answer()
        return True


class ServerConnection(BaseAccountHolder):
    """Reads the requests of one client and writes the responses in order.

    A separate task reads while the handler runs, so that a disconnect is
    detected immediately and the request is cancelled.
    """

    def __init__(
        self,
        stream: ByteStream,
        handler: BaseRequestHandler,
        clock: Clock,
        logger: Logger,
        memory: CallerMemory,
        processing: ProcessingBudget | None = None,
    ) -> None:
        """Wrap an accepted stream.

        Connections may share `processing`; by default, it has one of its own.
        """
        budget = processing or ProcessingBudget()
        self.is_busy = False
        self.is_draining = False
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self._handler = handler
        self._logger = logger
        self._account = memory.open(self)
        self._writer = _Writer(stream, self._account)
        self._parser = _RequestParser(clock, handler.get_limits, self._account)
        self._parts = _PartParser(
            self._parser, budget.open(_describe_caller(stream))
        )
        self._changed = anyio.Event()
        #: Set when a request is taken, after which more may be read.
        self._taken = anyio.Event()
        self._read_ended = anyio.Event()
        self._is_disconnected = False
        #: Whether bytes were received that are not parsed yet.
        self._has_unparsed = False
        #: Whether the connection was idle when it was last to be closed.
        self._was_idle = False
        self._error_status = 0
        self._handler_scope: anyio.CancelScope | None = None
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._read)
                    await self._serve()
                    tasks.cancel_scope.cancel()
        finally:
            _release(self._parser, self._account)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    def refuse_incoming(self) -> None:
        """Drop the request in progress and refuse it as not run."""
        self._parser.stop(_STATUS_NOT_RUN)
        self._error_status = _STATUS_NOT_RUN
        self._taken.set()
        self._changed.set()

    def abort(self) -> None:
        """Close the connection at once."""
        self._scope.cancel()

    def close_if_idle(self) -> None:
        """Close the connection if it was idle at the previous call, too.

        Between two calls, received bytes reach the parser, so that no
        connection is closed with a request that has arrived.
        """
        parser = self._parser
        has_request = parser.is_receiving or bool(parser.completed)
        has_request = has_request or self._has_unparsed
        is_idle = not (self.is_busy or has_request or is_readable(self._socket))
        if is_idle and self._was_idle:
            self._scope.cancel()
        self._was_idle = is_idle

    async def _serve(self) -> None:
        while True:
            request = await self._next_request()
            if request is None:
                return
            self.is_busy = True
            self._was_idle = False
            keep_alive = await self._answer(request)
            self._account.release_complete(request.held_bytes)
            self.is_busy = False
            if not keep_alive:
                return

    async def _next_request(self) -> RawRequest | None:
        parser = self._parser
        while not parser.completed:
            if self._error_status:
                await self._refuse(self._error_status)
                return None
            if self._is_disconnected:
                return None
            if parser.take_expectation():
                # Sent here, so that it follows the answers to earlier requests.
                await self._writer.write(_CONTINUE)
            if not await self._wait_for_caller():
                if parser.is_receiving:
                    await self._refuse(_STATUS_TIMEOUT)
                return None
        if _has_enough(parser.completed):
            self._taken.set()
            self._taken = anyio.Event()
        return parser.completed.pop(0)

    async def _refuse(self, status: int) -> None:
        response = RawResponse(status)
        if status == _STATUS_NOT_RUN:
            response = self._handler.create_memory_refusal()
        self._parser.stop(status)
        self._account.drop_incoming()
        await self._writer.write(encode_response(response, keep_alive=False))
        if self._error_status and self._parser.is_receiving:
            with anyio.move_on_after(_DISCARD_TIMEOUT_S):
                await self._read_ended.wait()
                await _discard_rest(self._stream)

    async def _wait_for_caller(self) -> bool:
        """Return whether something changed before the caller's time is over.

        The time doesn't end while this process has not parsed what the caller
        has sent.
        """
        wait_s = self._parser.compute_wait_s()
        while not await self._wait_for_change(wait_s):
            if not self._has_unparsed:
                return False
            wait_s = _DISCONNECT_CHECK_S
        return True

    async def _wait_for_change(self, wait_s: float) -> bool:
        with anyio.move_on_after(wait_s):
            await self._changed.wait()
            self._changed = anyio.Event()
            return True
        return False

    async def _answer(self, request: RawRequest) -> bool:
        response: RawResponse | None = None
        with anyio.CancelScope() as scope:
            self._handler_scope = scope
            if self._is_disconnected:
                return False
            response = await self._handle(request)
        self._handler_scope = None
        if response is None:
            return False
        keep_alive = request.is_keep_alive and not self.is_draining
        message = encode_response(
            response, keep_alive=keep_alive, has_body=request.method != 'HEAD'
        )
        # The body is not held twice while the caller reads.
        response = None
        return await self._writer.write(message) and keep_alive

    async def _handle(self, request: RawRequest) -> RawResponse:
        try:
            return await self._handler.handle(request)
        except Exception as error:
            # A bug that one request triggers must not end the other requests.
            self._logger.error('request failed', error=repr(error))
            return RawResponse(_STATUS_INTERNAL_ERROR)

    async def _read(self) -> None:
        try:
            while not self._error_status:
                # No variable holds what was received during the next wait.
                await self._parse(await self._stream.receive(_RECEIVE_BYTES))
        except httptools.HttpParserError:
            self._error_status = _STATUS_BAD_REQUEST
        except _CONNECTION_FAILURES:
            self._is_disconnected = True
            if self._handler_scope is not None:
                self._handler_scope.cancel()
        self._read_ended.set()
        self._changed.set()

    async def _parse(self, received: bytes) -> None:
        parsed_bytes = 0
        self._has_unparsed = True
        while parsed_bytes < len(received) and not self._error_status:
            parsed_bytes = await self._parts.parse(received, parsed_bytes)
            self._error_status = self._parser.violation_status
            self._has_unparsed = parsed_bytes < len(received)
            self._changed.set()
            if _has_enough(self._parser.completed):
                await self._wait_until_taken(len(received))
        self._has_unparsed = False

    async def _wait_until_taken(self, held_bytes: int) -> None:
        # What was received, but not parsed, gives way like a request that is
        # not complete.
        self._account.receive(held_bytes)
        while _has_enough(self._parser.completed) and not self._error_status:
            with anyio.move_on_after(_DISCONNECT_CHECK_S):
                await self._taken.wait()
                continue
            if self._handler_scope and is_closed_by_peer(self._socket):
                raise anyio.EndOfStream
        if not self._error_status:
            self._account.receive(-held_bytes)


async def _discard_rest(stream: ByteStream) -> None:
    """Receive and drop everything until the caller closes."""
    try:
        while True:
            await stream.receive(_RECEIVE_BYTES)
    except _CONNECTION_FAILURES:
        return


def encode_response(
    response: RawResponse,
    *,
    keep_alive: bool,
    has_body: bool = True,
) -> bytes:
    """Return the response in wire form, with the length of its body.

    Without `has_body` it is the response to a HEAD request. Its length would
    have to be that of the response to GET, which only the handler may know.
    """
    has_body = has_body and response.status not in _BODYLESS_STATUSES
    phrase = _PHRASE_BY_STATUS.get(response.status, 'Status')
    lines = [f'HTTP/1.1 {response.status} {phrase}\r\n'.encode()]
    for name, content in response.headers:
        lines.append(b'%s: %s\r\n' % (name, content))
    if has_body:
        lines.append(b'Content-Length: %d\r\n' % len(response.body))
    if not keep_alive:
        lines.append(b'Connection: close\r\n')
    lines.append(b'\r\n')
    if has_body:
        lines.append(response.body)
    return b''.join(lines)
