"""Stand-in for a caller: one request on a connection of its own."""

import asyncio
import dataclasses
import time

from review.kit.http import read_message
from review.kit.record import Record

HOST = 'shop.example'


@dataclasses.dataclass(frozen=True)
class Call:
    """What a caller saw of one request."""

    request_id: str
    #: Status of the complete answer; None if the connection ended without one
    #: or the time limit passed.
    status: int | None
    headers: dict[str, str]
    body: bytes
    #: Monotonic times in seconds.
    sent_at: float
    ended_at: float
    #: Why there is no status.
    error: str = ''


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a caller."""

    request_id: str
    path: str
    method: str = 'GET'
    key: str | None = None
    deadline_ms: int = 4000
    body: bytes = b''

    def encode(self) -> bytes:
        """Return the request in wire form."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Jacinthcart-Request-Id: {self.request_id}',
            f'X-Jacinthcart-Deadline-Ms: {self.deadline_ms}',
        ]
        if self.key is not None:
            lines.append(f'X-Jacinthcart-Credential: {self.key}')
        if self.body or self.method == 'POST':
            lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join([*lines, '', '']).encode() + self.body


async def call(
    address: str, port: int, request: Request, record: Record
) -> Call:
    """Send a request on a new connection and wait for its answer."""
    started_at = time.monotonic()
    record.write(
        'sent', request=request.request_id, vm=address, path=request.path
    )
    status: int | None = None
    headers: dict[str, str] = {}
    body = b''
    error = ''
    sent_at = started_at
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(request.deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(address, port)
            sent_at = time.monotonic()
            writer.write(request.encode())
            answer = await read_message(reader)
        if answer is None:
            error = 'connection closed without an answer'
        else:
            status = int(answer.start[1])
            headers = answer.headers
            body = answer.body
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as failure:
        error = repr(failure)
    finally:
        if writer is not None:
            writer.close()
    ended = Call(
        request.request_id,
        status,
        headers,
        body,
        sent_at,
        time.monotonic(),
        error,
    )
    record.write(
        'answered',
        request=request.request_id,
        vm=address,
        status=status,
        ms=round((ended.ended_at - sent_at) * 1000),
        error=error or '-',
    )
    return ended
