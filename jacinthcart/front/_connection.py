"""Server side of one HTTP/1.1 connection."""

import functools

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

#: Bytes that are received at once. The kernel keeps the rest.
_RECEIVE_BYTES = 262144
#: Seconds between checks for a disconnect while they wait and nothing is read.
_DISCONNECT_CHECK_S = 0.25
#: Seconds for which the rest of a refused request is received and dropped:
#: closing with unread bytes would reset the connection, and the caller would
#: lose the refusal.
_DISCARD_TIMEOUT_S = 1.0
_CONNECTION_FAILURES = (*STREAM_FAILURES, anyio.EndOfStream)
_STATUS_BAD_REQUEST = 400
_STATUS_TIMEOUT = 408
_STATUS_NOT_RUN = 503
_STATUS_INTERNAL_ERROR = 500
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def _describe_caller(stream: ByteStream) -> str:
    """Return the address of a caller, without its port."""
    address = stream.extra(SocketAttribute.remote_address)
    return str(address[0]) if address else ''


def _has_begun(parser: RequestParser) -> bool:
    """Return whether a request has begun that is not being answered."""
    return parser.is_receiving or bool(parser.completed)


def _release(parser: RequestParser, account: ConnectionAccount) -> None:
    """Drop what a connection that ends holds, and close its account."""
    parser.stop(_STATUS_NOT_RUN)
    account.close()


class _SafeHandler:
    """Calls a handler, whose bugs must not end other requests."""

    def __init__(self, handler: BaseRequestHandler, logger: Logger) -> None:
        """Initialise with the handler and the log of its bugs."""
        self._handler = handler
        self._logger = logger

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return the response, which reports an error of the handler."""
        try:
            return await self._handler.handle(request)
        except Exception as error:
            self._logger.error('request failed', error=repr(error))
            return RawResponse(_STATUS_INTERNAL_ERROR)


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
        self._processing = budget.open(_describe_caller(stream))
        self.is_busy = False
        self.is_draining = False
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self._handler = handler
        self._safe_handler = _SafeHandler(handler, logger)
        self._account = memory.open(self)
        self._writer = Writer(stream, self._account)
        self._parser = RequestParser(clock, handler.get_limits, self._account)
        self._parts = PartParser(self._parser, self._processing)
        self._changed = anyio.Event()
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
        self._parser.completed.taken.set()
        self._changed.set()

    def abort(self) -> None:
        """Close the connection at once."""
        self._scope.cancel()

    def close_if_idle(self) -> None:
        """Close the connection if it was idle at the previous call, too.

        Between two calls, received bytes reach the parser, so that no
        connection is closed with a request that has arrived.
        """
        is_busy = self.is_busy or _has_begun(self._parser) or self._has_unparsed
        is_idle = not (is_busy or is_readable(self._socket))
        if is_idle and self._was_idle:
            self._scope.cancel()
        self._was_idle = is_idle

    async def _serve(self) -> None:
        # Whether the next request began before the last answer was written.
        is_pipelined = False
        keep_alive = True
        while keep_alive and await self._wait_for_request():
            self.is_busy = True
            self._was_idle = False
            keep_alive = await self._answer(is_pipelined=is_pipelined)
            self.is_busy = False
            is_pipelined = _has_begun(self._parser) or self._has_unparsed

    async def _wait_for_request(self) -> bool:
        """Return whether there is a request, or the connection ends."""
        parser = self._parser
        while not parser.completed:
            if self._error_status:
                await self._refuse(self._error_status)
                return False
            if self._is_disconnected:
                return False
            if parser.take_expectation():
                # Sent here, so that it follows the answers to earlier requests.
                await self._writer.write(_CONTINUE)
            if not await self._wait_for_caller():
                if parser.is_receiving:
                    await self._refuse(_STATUS_TIMEOUT)
                return False
        return True

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
        while True:
            with anyio.move_on_after(wait_s):
                await self._changed.wait()
                self._changed = anyio.Event()
                return True
            if not self._has_unparsed:
                return False
            wait_s = _DISCONNECT_CHECK_S

    async def _answer(self, *, is_pipelined: bool) -> bool:
        """Return whether the connection stays open for further requests.

        Callers that wait for each answer hold themselves back. Those that do
        not take turns, so that together they leave most of the processor.
        """
        with anyio.CancelScope() as scope:
            if self._is_disconnected:
                return False
            self._handler_scope = scope
            if is_pipelined:
                return await self._processing.run(
                    functools.partial(self._respond_to_all, scope)
                )
            return await self._respond(scope)
        return False

    async def _respond_to_all(self, scope: anyio.CancelScope) -> bool:
        """Answer the requests that are ready until the turn is used."""
        while await self._respond(scope):
            if not (self._parser.completed and self._processing.has_rest()):
                return True
            if self._is_disconnected:
                return False
        return False

    async def _respond(self, scope: anyio.CancelScope) -> bool:
        request = self._parser.completed.take()
        self._handler_scope = scope
        response = await self._safe_handler.handle(request)
        # A caller that does not send any more may still read.
        self._handler_scope = None
        keep_alive = request.is_keep_alive and not self.is_draining
        message = encode_response(
            response, keep_alive=keep_alive, has_body=request.method != 'HEAD'
        )
        # The body is not held twice while the caller reads.
        del response
        is_taken = await self._writer.write(message)
        self._account.release_complete(request.held_bytes)
        return is_taken and keep_alive

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
            if self._parser.completed.has_enough:
                await self._wait_until_taken(len(received))
        self._has_unparsed = False

    async def _wait_until_taken(self, held_bytes: int) -> None:
        # What was received, but not parsed, gives way like a request that is
        # not complete.
        self._account.receive(held_bytes)
        while self._parser.completed.has_enough and not self._error_status:
            with anyio.move_on_after(_DISCONNECT_CHECK_S):
                await self._parser.completed.taken.wait()
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
