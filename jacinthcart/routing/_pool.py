"""Persistent HTTP/1.1 connections to searchers."""

import dataclasses
import functools
import weakref
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream, SocketAttribute

from jacinthcart.catalogue import Searcher
from jacinthcart.errors import (
    NotSentError,
    OutcomeUnknownError,
)
from jacinthcart.program import Clock
from jacinthcart.routing._codec import (
    BaseSearcherCodec,
    SearcherResponse,
)
from jacinthcart.routing._failure import copy_without_traceback
from jacinthcart.routing._long_responses import (
    LongResponses,
    SearcherReading,
    create_single_reading,
)
from jacinthcart.routing._receive_buffer import limit_receive_buffer
from jacinthcart.routing._request_memory import RequestMemory
from jacinthcart.routing._response_memory import (
    BaseHeldBody,
    ResponseMemory,
)
from jacinthcart.routing._response_parser import BodyRule, ResponseParser
from jacinthcart.routing._response_progress import ResponseProgress
from jacinthcart.routing._response_receiver import ResponseReceiver
from jacinthcart.streams import (
    STREAM_FAILURES,
    ProcessingBudget,
    connect,
    count_queue_bytes,
    is_readable,
)

#: Bytes of a request that are handed to the transport at once. It copies what
#: the searcher does not take.
_SEND_BYTES = 16384
#: Seconds in which a searcher must take such a part of a large request.
_SEND_TIMEOUT_S = 3.0
#: Responses read for one request; those to other requests are skipped.
_MAX_RESPONSES_READ = 4
#: Failed requests that a connection remembers. It is closed after so many.
_MAX_FAILED_IDS = 256


@dataclasses.dataclass(frozen=True)
class ConnectionParameters:
    """Timeouts of connections to searchers."""

    connect_timeout_s: float = 0.5
    #: Seconds after which an idle connection is closed, unless the searcher
    #: announces a shorter timeout.
    idle_timeout_s: float = 8.0
    #: Fraction of the searcher's announced idle timeout after which this VM
    #: closes the connection.
    idle_timeout_fraction: float = 0.7
    #: Idle seconds after which a connection is not reused for a request that
    #: may run only once: the searcher may have closed the connection, and
    #: such a request can't be sent again after a failed send.
    at_most_once_idle_s: float = 0.4
    #: Bytes of all responses in progress together.
    max_held_bytes: int = 64 * 1024 * 1024
    #: Bytes of all requests that are not answered yet.
    max_request_bytes: int = 32 * 1024 * 1024


class _RequestSender:
    """Sends a large request in parts."""

    def __init__(self, stream: ByteStream, message: bytes) -> None:
        """Create the sender; `run` sends the request."""
        self.is_finished = False
        #: Set if the searcher does not read the request.
        self.failure: OutcomeUnknownError | None = None
        self._stream = stream
        self._message = message

    async def run(self, scope: anyio.CancelScope) -> None:
        """Send the request; at a timeout, cancel `scope`."""
        message = self._message
        try:
            for start in range(0, len(message), _SEND_BYTES):
                with anyio.fail_after(_SEND_TIMEOUT_S):
                    await self._stream.send(
                        message[start : start + _SEND_BYTES]
                    )
        except TimeoutError:
            self.failure = OutcomeUnknownError('send: timeout')
            scope.cancel()
        except STREAM_FAILURES:
            # The response may have arrived; if not, receiving fails as well.
            return
        else:
            self.is_finished = True


class SearcherConnection:
    """A connection that carries one request at a time."""

    def __init__(
        self,
        stream: ByteStream,
        codec: BaseSearcherCodec,
        memory: ResponseMemory,
        now: float,
        reading: SearcherReading | None = None,
    ) -> None:
        """Wrap a connected stream.

        `reading` limits the processor time for long responses; by default it
        is a limit of this connection alone.
        """
        self.used_at = now
        self.idle_until = now
        self.is_usable = True
        #: Whether this was opened or carried a request since it was last put
        #: into its pool.
        self.was_used = True
        self._stream = stream
        self._codec = codec
        # The parser refers to no connection: as a cycle they would remain in
        # memory after the close, with what the stream has received.
        self._body_rule = BodyRule(codec)
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self._parser = ResponseParser(
            memory,
            self._body_rule.has_body,
            functools.partial(count_queue_bytes, self._socket)
            if self._socket
            else None,
        )
        self._receiver = ResponseReceiver(
            stream, self._parser, reading or create_single_reading()
        )
        #: Ids of requests that this connection answered without success.
        self._failed_ids: set[str] = set()

    @property
    def progress(self) -> ResponseProgress:
        """Return what has arrived in the last exchange."""
        return self._parser.progress

    @property
    def has_unfinished_response(self) -> bool:
        """Return whether the last response was long and did not end."""
        return self._receiver.is_unfinished

    def may_carry(self, request_id: str) -> bool:
        """Return whether a send of the request may use this connection.

        All sends of a request have the same id. On a connection that
        answered one of them, a late copy of that response could not be told
        from the response to the next send.
        """
        return request_id not in self._failed_ids

    def has_no_input(self) -> bool:
        """Return whether neither data nor end of stream arrived while idle."""
        return not is_readable(self._socket)

    def is_open(self) -> bool:
        """Return whether the connection has a socket."""
        return self._socket.fileno() >= 0

    def count_queue_bytes(self) -> int:
        """Return the received bytes that the kernel still holds."""
        return count_queue_bytes(self._socket)

    async def exchange(
        self, message: bytes, request_id: str, *, expects_body: bool = True
    ) -> SearcherResponse:
        """Send a request and return its complete response.

        `expects_body` is False for a HEAD request. Responses to other requests
        are skipped. Raise OutcomeUnknownError if no response to this request
        arrives; the connection is unusable afterwards.
        """
        self.is_usable = False
        self.was_used = True
        self._receiver.is_unfinished = False
        if not expects_body:
            self._body_rule.bodyless_id = request_id
        if len(message) > _SEND_BYTES:
            return await self._exchange_large(message, request_id)
        await self._send(message)
        return await self._receive_response(request_id)

    async def close(self) -> None:
        """Close at once, which cancels a request in progress."""
        self.is_usable = False
        self._parser.release()
        await anyio.aclose_forcefully(self._stream)

    async def _exchange_large(
        self, message: bytes, request_id: str
    ) -> SearcherResponse:
        """Receive while sending.

        A searcher may respond before it has read the request, and it cuts off
        a response that remains unread.
        """
        sender = _RequestSender(self._stream, message)
        response: SearcherResponse | None = None
        failure: OutcomeUnknownError | None = None
        is_reusable = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sender.run, tasks.cancel_scope)
            try:
                response = await self._receive_response(request_id)
            except OutcomeUnknownError as error:
                failure = copy_without_traceback(error)
            # The searcher still expects the rest of a request that is cut
            # short, also if this attempt is cancelled during the next wait.
            is_reusable = self.is_usable
            self.is_usable = False
            tasks.cancel_scope.cancel()
        if response is None:
            raise copy_without_traceback(
                sender.failure or failure or OutcomeUnknownError('cancelled')
            )
        self.is_usable = is_reusable and sender.is_finished
        return response

    async def _receive_response(self, request_id: str) -> SearcherResponse:
        for _ in range(_MAX_RESPONSES_READ):
            head, body = await self._receiver.receive()
            if self._codec.find_request_id(head) == request_id:
                response = self._codec.decode_response(head, body)
                if not response.is_success:
                    self._failed_ids.add(request_id)
                self.is_usable = self._is_reusable(response)
                return response
        raise OutcomeUnknownError('received only responses to other requests')

    async def _send(self, message: bytes) -> None:
        try:
            await self._stream.send(message)
        except STREAM_FAILURES as error:
            raise OutcomeUnknownError(f'send: {error!r}') from error

    def _is_reusable(self, response: SearcherResponse) -> bool:
        # A late copy of a response without its body could not be told from
        # one with a body, nor a body sent nevertheless from a next response.
        if self._body_rule.bodyless_id is not None:
            return False
        parser = self._parser
        has_more = bool(parser.complete) or parser.is_in_response
        has_more = has_more or parser.failure is not None
        if response.closes_connection or not parser.keeps_open or has_more:
            return False
        return len(self._failed_ids) < _MAX_FAILED_IDS


def _get_whole() -> float:
    return 1


class SearcherPools:
    """Pools of idle connections, one per searcher process."""

    def __init__(
        self,
        codec: BaseSearcherCodec,
        clock: Clock,
        params: ConnectionParameters,
        compute_share: Callable[[], float] = _get_whole,
        processing: ProcessingBudget | None = None,
    ) -> None:
        """Create empty pools.

        `compute_share` returns this VM's share of what a searcher holds.
        `processing` limits the processor time for long responses; by default
        it is a budget of these pools alone.
        """
        self.processing = processing or ProcessingBudget()
        self.request_memory = RequestMemory(
            params.max_request_bytes, compute_share
        )
        self._codec = codec
        self._clock = clock
        self._params = params
        self._memory = ResponseMemory(params.max_held_bytes)
        self._long_responses = LongResponses(self.processing)
        self._idle_by_process: dict[
            tuple[str, int],
            list[SearcherConnection],
        ] = {}
        self._connections: weakref.WeakSet[SearcherConnection] = (
            weakref.WeakSet()
        )

    @property
    def response_held_bytes(self) -> int:
        """Return the bytes counted for responses in progress."""
        return self._memory.held_bytes

    def list_bodies(self) -> list[BaseHeldBody]:
        """Return the bodies of large responses that exist in memory."""
        return list(self._memory.bodies)

    def list_open_connections(self) -> list[SearcherConnection]:
        """Return the connections in use and those that are idle."""
        return [one for one in self._connections if one.is_open()]

    async def acquire(
        self,
        searcher: Searcher,
        request_id: str,
        *,
        at_most_once: bool,
    ) -> SearcherConnection:
        """Return an idle or new connection for one send of a request.

        `at_most_once` states that the request must not run more than once.
        Raise NotSentError if the connection can't be opened.
        """
        idle = self._idle_by_process.get(searcher.process, [])
        while True:
            connection = _pop_newest(idle, request_id)
            if connection is None:
                return await self._open(searcher)
            if self._is_reusable(connection, at_most_once=at_most_once):
                return connection
            await connection.close()

    async def release(
        self,
        searcher: Searcher,
        connection: SearcherConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """Put a usable connection back into its pool; close any other.

        `idle_timeout_s` is the idle timeout that the searcher announced.
        """
        if not connection.is_usable:
            await connection.close()
            return
        if connection.was_used:
            self._renew(connection, idle_timeout_s)
        idle = self._idle_by_process.setdefault(searcher.process, [])
        idle.append(connection)

    async def close_idle(self) -> None:
        """Close connections whose idle timeout has expired."""
        now = self._clock()
        expired: list[SearcherConnection] = []
        for key, idle in list(self._idle_by_process.items()):
            # Nothing is awaited before all expired connections are removed
            # from the pools: during an await, another task could acquire one
            # that is about to be closed.
            old = [one for one in idle if one.idle_until <= now]
            for connection in old:
                idle.remove(connection)
            expired.extend(old)
            if not idle:
                self._idle_by_process.pop(key)
        for connection in expired:
            await connection.close()

    async def close(self) -> None:
        """Close every idle connection."""
        lists = list(self._idle_by_process.values())
        self._idle_by_process.clear()
        for idle in lists:
            while idle:
                await idle.pop().close()

    def _renew(
        self, connection: SearcherConnection, idle_timeout_s: float | None
    ) -> None:
        now = self._clock()
        idle_s = self._params.idle_timeout_s
        if idle_timeout_s is not None:
            idle_s = min(
                idle_s, idle_timeout_s * self._params.idle_timeout_fraction
            )
        connection.used_at = now
        connection.idle_until = now + idle_s
        connection.was_used = False

    def _is_reusable(
        self, connection: SearcherConnection, *, at_most_once: bool
    ) -> bool:
        now = self._clock()
        idle_s = now - connection.used_at
        is_recent = idle_s <= self._params.at_most_once_idle_s
        if connection.idle_until <= now or (at_most_once and not is_recent):
            return False
        return connection.has_no_input()

    async def _open(self, searcher: Searcher) -> SearcherConnection:
        try:
            with anyio.fail_after(self._params.connect_timeout_s):
                stream = await connect(searcher.address, searcher.port)
        except (OSError, TimeoutError) as error:
            raise NotSentError(f'connect: {error!r}') from error
        limit_receive_buffer(stream)
        connection = SearcherConnection(
            stream,
            self._codec,
            self._memory,
            self._clock(),
            self._long_responses.open(searcher),
        )
        self._connections.add(connection)
        return connection


def _pop_newest(
    idle: list[SearcherConnection], request_id: str
) -> SearcherConnection | None:
    # Others stay in the pool: they may carry other requests.
    for connection in reversed(idle):
        if connection.may_carry(request_id):
            idle.remove(connection)
            return connection
    return None
