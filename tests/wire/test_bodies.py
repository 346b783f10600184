"""Tests of bounded reading, through each part that reads bodies with it."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any
from unittest import TestCase, mock

import anyio
import httpx

from jacinthcart.caller import Address, InvalidAnswerError, UnreachableError
from jacinthcart.caller._client import CallerRequest, EntryClient
from jacinthcart.control._internal_api import create_internal_application
from jacinthcart.errors import BodyMemoryError
from jacinthcart.gather._app import create_application
from jacinthcart.load._transport import RecordingTransport
from jacinthcart.telemetry import create_logger
from jacinthcart.wire import AsgiApplication, BodyReader

_PIECE = bytes(65536)
#: Bytes after which the stand-ins of endless senders stop.
_END_BYTES = 128 * 1024 * 1024
#: The largest bound of any reader.
_BOUND_BYTES = 16 * 1024 * 1024
_STATUS_TOO_LARGE = 413


class _EndlessBody(httpx.AsyncByteStream):
    """A body that never ends for a reader with a bound."""

    def __init__(self) -> None:
        """Start without sent bytes."""
        self.sent_bytes = 0

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Send pieces."""
        while self.sent_bytes < _END_BYTES:
            self.sent_bytes += len(_PIECE)
            yield _PIECE

    async def receive(self) -> dict[str, Any]:
        """Send a piece as an ASGI server does."""
        self.sent_bytes += len(_PIECE)
        has_more = self.sent_bytes < _END_BYTES
        return {'type': 'http.request', 'body': _PIECE, 'more_body': has_more}


class RequestBodyTests(TestCase):
    """Applications of the former tier refuse bodies without end."""

    def test_endless_request_is_refused_at_its_bound(self) -> None:
        """Guards against a request body that is read until memory ends."""
        control = create_internal_application(mock.Mock())
        gather = create_application(
            mock.Mock(is_leaving=False), create_logger('test')
        )
        for application, path in (
            (control, '/v1/permits'),
            (control, '/v1/warm'),
            (gather, '/v1/queries'),
            (gather, '/v1/subqueries'),
        ):
            for headers, most in (
                ((), _BOUND_BYTES),
                (((b'content-length', b'100000000'),), 0),
                (((b'content-length', b'9' * 5000),), 0),
            ):
                body = _EndlessBody()
                status = anyio.run(_post, application, path, headers, body)
                self.assertEqual(status, _STATUS_TOO_LARGE, path)
                self.assertLessEqual(body.sent_bytes, most, path)


class ResponseBodyTests(TestCase):
    """Clients of the former tier give up bodies without end."""

    def test_endless_response_is_given_up_at_its_bound(self) -> None:
        """Guards against a response body that is read until memory ends."""
        for status in (200, 500):
            for call, error in (
                (_send_request, InvalidAnswerError),
                (_fetch_addresses, UnreachableError),
                (_send_recorded, httpx.RemoteProtocolError),
            ):
                body = _EndlessBody()
                with self.assertRaises(error):
                    anyio.run(call, _respond(status, body))
                self.assertLessEqual(body.sent_bytes, _BOUND_BYTES + 65536)

    def test_compressed_response_is_not_expanded(self) -> None:
        """Guards against a small body that expands beyond the bound."""
        body = _EndlessBody()
        transport = _respond(200, body, {'content-encoding': 'gzip'})
        with self.assertRaises(InvalidAnswerError):
            anyio.run(_send_request, transport)
        self.assertEqual(body.sent_bytes, 0)


class BodySumTests(TestCase):
    """All bodies of a reader share one bound."""

    def test_largest_of_many_bodies_gives_way(self) -> None:
        """Guards against a bound of each body only."""
        reader = BodyReader(10 * len(_PIECE), 12 * len(_PIECE))
        most = 0
        errors = 0

        async def read() -> None:
            nonlocal errors
            with contextlib.suppress(BodyMemoryError):
                await reader.read(_send_slowly())
                errors -= 1
            errors += 1

        async def _send_slowly() -> AsyncIterator[bytes]:
            nonlocal most
            for _ in range(5):
                most = max(most, reader.held_bytes)
                yield _PIECE
                await anyio.sleep(0)

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(read)

        anyio.run(run)
        self.assertLessEqual(most, 12 * len(_PIECE))
        self.assertGreater(errors, 0)
        self.assertLess(errors, 8)
        self.assertEqual(reader.held_bytes, 0)


async def _post(
    application: AsgiApplication,
    path: str,
    headers: tuple[tuple[bytes, bytes], ...],
    body: _EndlessBody,
) -> int:
    statuses: list[int] = []

    async def send(message: dict[str, Any]) -> None:
        if message['type'] == 'http.response.start':
            statuses.append(message['status'])

    scope = {
        'type': 'http',
        'method': 'POST',
        'path': path,
        'query_string': b'',
        'headers': headers,
    }
    await application(scope, body.receive, send)
    return statuses[0]


def _respond(
    status: int, body: _EndlessBody, headers: dict[str, str] | None = None
) -> httpx.MockTransport:
    return httpx.MockTransport(
        lambda request: httpx.Response(status, headers=headers, stream=body)
    )


async def _use_client(
    transport: httpx.AsyncBaseTransport,
    call: Callable[[EntryClient, Address], Awaitable[Any]],
) -> None:
    client = EntryClient('key', anyio.current_time, transport)
    try:
        await call(client, Address('127.0.0.1', 1))
    finally:
        await client.close()


async def _send_request(transport: httpx.AsyncBaseTransport) -> None:
    request = CallerRequest('a/b', '1', {}, None, anyio.current_time() + 60)
    await _use_client(transport, lambda client, to: client.send(to, request))


async def _fetch_addresses(transport: httpx.AsyncBaseTransport) -> None:
    # The time limit of the request must not end it before the bound does.
    with mock.patch('jacinthcart.caller._client._ADDRESSES_TIMEOUT_S', 60):
        await _use_client(
            transport, lambda client, to: client.fetch_addresses(to, None)
        )


async def _send_recorded(transport: httpx.AsyncBaseTransport) -> None:
    recording = RecordingTransport(None)
    recording._transport = transport  # type: ignore[assignment]
    async with httpx.AsyncClient(transport=recording) as client:
        await client.get('http://127.0.0.1:1/v1/addresses')
