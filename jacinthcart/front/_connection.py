"""Server side of one HTTP/1.1 connection."""

import anyio
import httptools
from anyio.abc import ByteStream, SocketAttribute

from jacinthcart.front._memory import (
    BaseAccountHolder,
    CallerMemory,
    ConnectionAccount,
)
from jacinthcart.front._messages import (
    BaseRequestHandler,
    RawRequest,
    RawResponse,
    encode_response,
)
from jacinthcart.front._parser import PartParser, RequestParser
from jacinthcart.front._writer import Writer
from jacinthcart.program import Clock
from jacinthcart.streams import (
    STREAM_FAILURES,
    ProcessingBudget,
    is_closed_by_peer,
    is_readable,
)
from jacinthcart.telemetry import Logger

#: As many bytes as the event loop reads at once. With fewer, the rest would
#: remain in a queue of the stream.
_RECEIVE_BYTES = 262144
#: Complete requests of a connection that may wait behind the one in progress.
#: No more are read from a caller that does not wait for its answers.
_MAX_WAITING_REQUESTS = 8
#: Seconds between checks for a disconnect while they wait and nothing is read.
_DISCONNECT_CHECK_S = 0.25
#: Seconds for which the rest of a refused request is received and dropped:
#: closing with unread bytes would reset the connection, and the caller would
#: lose the refusal.
_DISCARD_TIMEOUT_S = 1.0
_CONNECTION_FAILURES = (*STREAM_FAILURES, anyio.EndOfStream)
_STATUS_BAD_REQUEST = 400
_STATUS_TIMEOUT = 408
_STATUS_INTERNAL_ERROR = 500
_STATUS_NOT_RUN = 503
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def _has_enough(waiting: list[RawRequest]) -> bool:
    """Return whether no more is to be parsed until a request is taken."""
    return len(waiting) >= _MAX_WAITING_REQUESTS


def _describe_caller(stream: ByteStream) -> str:
    """Return the address of a caller, without its port."""
    address = stream.extra(SocketAttribute.remote_address)
    return str(address[0]) if address else ''


def _release(parser: RequestParser, account: ConnectionAccount) -> None:
    """Drop what a connection that ends holds, and close its account."""
    parser.stop(_STATUS_NOT_RUN)
    account.close()


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
        self._writer = Writer(stream, self._account)
        self._parser = RequestParser(clock, handler.get_limits, self._account)
        self._parts = PartParser(
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
