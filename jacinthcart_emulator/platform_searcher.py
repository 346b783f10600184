"""Emulated searcher of the users' platform with fault injection."""

import dataclasses
import hashlib
import random
import time

import anyio
import h11
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from jacinthcart.streams import STREAM_FAILURES
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME, Malformation

_RECEIVE_BYTES = 65536
_RECORD_BYTES = 16
_HEADER_PREFIX = 'x-jacinthcart-'
_STAMP_HEADER = b'x-jacinthcart-server-stamp'
#: Name and content of a header.
_Header = tuple[str, str]
_DISCONNECT_ERRORS = (
    *STREAM_FAILURES,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
)


@dataclasses.dataclass(frozen=True)
class Execution:
    """A request that a searcher started to execute."""

    request_id: str
    searcher_id: str
    service: str
    #: Workspace that the request named; None if it named none.
    workspace: str | None
    #: Request target: path and query string.
    target: str
    #: Start of the execution, in seconds on the monotonic clock.
    at: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a searcher and was meant for it."""

    request_id: str
    searcher_id: str
    service: str
    #: Time of the arrival, in seconds on the monotonic clock.
    at: float
    #: Whether the response says that the searcher leaves.
    is_leaving: bool
    #: Seconds to wait that the response names; None if it names none.
    retry_after_s: float | None


@dataclasses.dataclass
class PlatformSearcherFaults:
    """Active faults; a fraction is the probability of a fault per request."""

    #: Execute the request, then close the connection without a response.
    reset_fraction: float = 0
    #: Send half of the response, then close the connection.
    truncate_fraction: float = 0
    #: Execute the request and send a malformed response.
    malform_fraction: float = 0
    #: Malformations, of which such a response gets one.
    malformations: tuple[Malformation, ...] = tuple(
        MALFORMATIONS_BY_NAME.values()
    )
    #: Execute the request and send a response without a stamp.
    unsigned_fraction: float = 0
    #: Send the response twice.
    duplicate_fraction: float = 0
    #: Execute the request and respond with `failure_status`.
    failure_fraction: float = 0
    failure_status: int = 500
    #: Respond with status 503 without executing the request.
    shed_fraction: float = 0
    #: Seconds to wait that such a response names; None to name none.
    retry_after_s: float | None = None
    #: Say in every response that the searcher leaves.
    is_leaving: bool = False
    #: Service time of a request, in seconds.
    service_s: float = 0.004
    #: Delay every request by 60 s before it is executed.
    is_silent: bool = False


class PlatformSearcherEmulator:
    """Executes requests in a limited number of slots and records each.

    Each execution is appended to `executions` and each arrival to `arrivals`,
    which several searchers may share.
    """

    def __init__(
        self,
        searcher_id: str,
        service: str,
        *,
        executions: list[Execution],
        random_source: random.Random,
        slots: int = 4,
        records: int = 6,
        arrivals: list[Arrival] | None = None,
    ) -> None:
        """Create the searcher; `start` makes it listen."""
        self.searcher_id = searcher_id
        self.service = service
        self.port = 0
        self.faults = PlatformSearcherFaults()
        self.executions = executions
        self.arrivals: list[Arrival] = [] if arrivals is None else arrivals
        self._random = random_source
        self._slots = slots
        self._records = records
        self._limiter: anyio.CapacityLimiter | None = None
        self._listener: SocketListener | None = None
        self._streams: set[SocketStream] = set()

    async def start(self, address: str, tasks: TaskGroup) -> None:
        """Listen on a free port of `address`; serve in `tasks`."""
        self._limiter = anyio.CapacityLimiter(self._slots)
        group = await anyio.create_tcp_listener(local_host=address)
        listener = group.listeners[0]
        assert isinstance(listener, SocketListener)
        self._listener = listener
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(self._accept, listener, tasks)

    async def close(self) -> None:
        """Stop listening and abort every connection, as a crash does."""
        if self._listener is not None:
            await self._listener.aclose()
        for stream in list(self._streams):
            await anyio.aclose_forcefully(stream)

    async def _accept(self, listener: SocketListener, tasks: TaskGroup) -> None:
        try:
            async with listener:
                await listener.serve(self._run_connection, tasks)
        except anyio.ClosedResourceError:
            # `close` closed the listener.
            return

    async def _run_connection(self, stream: SocketStream) -> None:
        self._streams.add(stream)
        try:
            await self._serve(stream)
        except _DISCONNECT_ERRORS:
            # The caller disconnected or a fault closed the connection.
            await anyio.aclose_forcefully(stream)
        finally:
            self._streams.discard(stream)

    async def _serve(self, stream: SocketStream) -> None:
        codec = h11.Connection(h11.SERVER)
        while True:
            request = await self._receive_request(stream, codec)
            stays_open = await self._handle(stream, codec, request)
            if not stays_open or codec.our_state is h11.MUST_CLOSE:
                await stream.aclose()
                return
            codec.start_next_cycle()

    async def _receive_request(
        self,
        stream: SocketStream,
        codec: h11.Connection,
    ) -> h11.Request:
        request: h11.Request | None = None
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await stream.receive(_RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request

    async def _handle(
        self,
        stream: SocketStream,
        codec: h11.Connection,
        request: h11.Request,
    ) -> bool:
        """Handle a request; return whether the connection stays open."""
        headers = {
            name.decode(): content.decode() for name, content in request.headers
        }
        request_id = headers.get(f'{_HEADER_PREFIX}request-id', '')
        if (
            headers.get(f'{_HEADER_PREFIX}expected-instance')
            != self.searcher_id
        ):
            refusal = _encode_response(codec, 421, request_id, b'')
            await stream.send(refusal)
            return True
        faults = self.faults
        is_shed = self._draw_bool(faults.shed_fraction)
        statements = _create_statements(faults, is_shed=is_shed)
        self._record_arrival(request_id, is_shed=is_shed)
        if faults.is_silent:
            await anyio.sleep(60)
        if is_shed:
            await stream.send(
                _encode_response(codec, 503, request_id, b'', *statements)
            )
            return True
        assert self._limiter is not None
        async with self._limiter:
            self.executions.append(
                Execution(
                    request_id,
                    self.searcher_id,
                    self.service,
                    headers.get(f'{_HEADER_PREFIX}tenant'),
                    request.target.decode(),
                    time.monotonic(),
                ),
            )
            await anyio.sleep(faults.service_s)
        return await self._send_answer(
            stream, codec, request_id, statements, method=request.method
        )

    def _record_arrival(self, request_id: str, *, is_shed: bool) -> None:
        faults = self.faults
        self.arrivals.append(
            Arrival(
                request_id,
                self.searcher_id,
                self.service,
                time.monotonic(),
                faults.is_leaving,
                faults.retry_after_s if is_shed else None,
            ),
        )

    async def _send_answer(
        self,
        stream: SocketStream,
        codec: h11.Connection,
        request_id: str,
        statements: list[_Header],
        *,
        method: bytes,
    ) -> bool:
        """Send the answer; return whether the connection stays open."""
        faults = self.faults
        if self._draw_bool(faults.reset_fraction):
            return False
        is_failure = self._draw_bool(faults.failure_fraction)
        stamp = f'{self.service}.{request_id}'
        body = create_part(self.service, request_id, self._records)
        message = _encode_response(
            codec,
            faults.failure_status if is_failure else 200,
            request_id,
            body,
            *statements,
            stamp=stamp,
            has_body=method != b'HEAD',
        )
        if self._draw_bool(faults.truncate_fraction):
            await stream.send(message[: len(message) // 2])
            return False
        if self._draw_bool(faults.unsigned_fraction):
            message = message.replace(_STAMP_HEADER, b'x-other')
        if self._draw_bool(faults.malform_fraction):
            malformation = self._random.choice(faults.malformations)
            message = malformation.apply(message)
        await stream.send(message)
        if self._draw_bool(faults.duplicate_fraction):
            await anyio.sleep(0.002)
            await stream.send(message)
        return True

    def _draw_bool(self, fraction: float) -> bool:
        return fraction > 0 and self._random.random() < fraction


def _create_statements(
    faults: PlatformSearcherFaults, *, is_shed: bool
) -> list[_Header]:
    statements = []
    if faults.is_leaving:
        statements.append(('server-leaving', '1'))
    if is_shed and faults.retry_after_s is not None:
        statements.append(('retry-after', f'{faults.retry_after_s:.3f}'))
    return statements


def create_part(service: str, request_id: str, records: int) -> bytes:
    """Return the body with which a service answers a request.

    It has `records` records of 16 bytes that depend only on `service` and
    `request_id`, so that a test can compute the expected body.
    """
    return b''.join(
        hashlib.blake2b(
            f'{service} {request_id} {number}'.encode(),
            digest_size=_RECORD_BYTES,
        ).digest()
        for number in range(records)
    )


def _encode_response(
    codec: h11.Connection,
    status: int,
    request_id: str,
    body: bytes,
    *statements: _Header,
    stamp: str | None = None,
    has_body: bool = True,
) -> bytes:
    """Encode a response; without `stamp` it is marked as not executed."""
    headers = [
        (f'{_HEADER_PREFIX}request-id', request_id),
        ('content-length', str(len(body))),
        *statements,
    ]
    if stamp is None:
        headers.append((f'{_HEADER_PREFIX}not-executed', '1'))
    else:
        headers.append((_STAMP_HEADER.decode(), stamp))
    response = h11.Response(status_code=status, headers=headers)
    content = h11.Data(body if has_body else b'')
    return b''.join(
        codec.send(event) or b''
        for event in (response, content, h11.EndOfMessage())
    )
