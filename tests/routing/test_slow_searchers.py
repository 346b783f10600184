"""Tests of searchers that read requests slowly or not at all."""

from typing import Any
from unittest import TestCase, mock

import anyio
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.errors import OutcomeUnknownError, RequestMemoryError
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import (
    BaseSearcherCodec,
    ConnectionParameters,
    SearcherPools,
    SearcherResponse,
)
from jacinthcart.routing._pool import SearcherConnection
from jacinthcart.routing._request_memory import RequestMemory
from jacinthcart.routing._response_memory import ResponseMemory
from tests.support import create_searcher, run_in_virtual_time

_TIMEOUT_S = 20
#: More than the kernel buffers of a connection.
_LARGE_BYTES = 16_000_000
_RESPONSE_BYTES = 12_000_000
_RESPONSE = b''.join(
    (
        b'HTTP/1.1 200 OK\r\nx-jacinthcart-request-id: a\r\n',
        b'x-jacinthcart-server-stamp: s\r\n',
        b'content-length: %d\r\n\r\n' % _RESPONSE_BYTES,
        bytes(_RESPONSE_BYTES),
    )
)
#: What one such response takes at most with the unused part of its buffer and
#: the buffers of its connection; less than two responses.
_HELD_BYTES = len(_RESPONSE) * 9 // 8 + 1_000_000


class _EarlySearcher:
    """A searcher that responds before it has read the request.

    It never reads the rest.
    """

    def __init__(self) -> None:
        """Create a searcher without requests."""
        self.responses_taken = 0
        self.responses_cut = 0

    async def serve(self, stream: SocketStream) -> None:
        """Answer the first request of a connection."""
        async with stream:
            await stream.receive(100)
            try:
                await stream.send(_RESPONSE)
            except anyio.BrokenResourceError:
                self.responses_cut += 1
            else:
                self.responses_taken += 1
                await anyio.sleep_forever()


class _SilentStream:
    """A stream whose peer neither reads nor writes."""

    def extra(self, attribute: Any) -> None:
        """Return no attribute."""

    async def send(self, message: bytes) -> None:
        """Wait."""
        await anyio.sleep_forever()

    async def receive(self, max_bytes: int) -> bytes:
        """Wait."""
        await anyio.sleep_forever()
        return b''


class _EarlyStream(_SilentStream):
    """A stream whose peer responds at once and never reads."""

    def __init__(self) -> None:
        """Create the stream; `scope` is cancelled as the response arrives."""
        self.scope = anyio.CancelScope()

    async def receive(self, max_bytes: int) -> bytes:
        """Return a response after the start of the request is sent."""
        await anyio.sleep(1)
        self.scope.cancel()
        return _RESPONSE[:-_RESPONSE_BYTES].replace(
            b'%d' % _RESPONSE_BYTES, b'0'
        )


class SlowSearcherTests(TestCase):
    """A searcher that does not read holds up neither VM nor response."""

    def test_response_before_the_end_of_the_request_is_read(self) -> None:
        """Guards against a response that remains unread.

        Both sides waited for the other one to read.
        """
        searcher = _EarlySearcher()
        (response,), connections = anyio.run(_exchange, searcher, 1, 1)
        self.assertEqual(len(response.body), _RESPONSE_BYTES)
        self.assertEqual(searcher.responses_taken, 1)
        # The searcher would take another request for the rest of this one.
        self.assertFalse(connections[0].is_usable)

    def test_full_memory_does_not_stop_reading(self) -> None:
        """Guards against responses that are left unread for lack of memory."""
        searcher = _EarlySearcher()
        outcomes, _ = anyio.run(_exchange, searcher, 3, 1)
        kinds = [type(one) for one in outcomes]
        self.assertIn(OutcomeUnknownError, kinds)
        self.assertIn(SearcherResponse, kinds)
        ended = searcher.responses_taken + searcher.responses_cut
        self.assertEqual(ended, 3)

    def test_request_that_is_not_read_times_out(self) -> None:
        """Guards against holding a large request until its deadline."""
        with self.assertRaisesRegex(OutcomeUnknownError, 'send: timeout'):
            run_in_virtual_time(self._send_large)

    def test_cancelled_request_is_not_followed_by_another(self) -> None:
        """Guards against other bytes where the rest of a body is due.

        The attempt was cancelled between the response and the end of sending.
        """
        connection = run_in_virtual_time(self._cancel_at_response)
        self.assertFalse(connection.is_usable)

    async def _cancel_at_response(self) -> SearcherConnection:
        stream: Any = _EarlyStream()
        connection = SearcherConnection(
            stream, PlatformSearcherCodec(), ResponseMemory(1_000_000), 0
        )
        with stream.scope:
            await connection.exchange(bytes(_LARGE_BYTES), 'a')
        return connection

    async def _send_large(self) -> None:
        stream: Any = _SilentStream()
        codec = mock.create_autospec(BaseSearcherCodec, instance=True)
        connection = SearcherConnection(stream, codec, ResponseMemory(1), 0)
        with anyio.fail_after(30):
            await connection.exchange(bytes(_LARGE_BYTES), 'a')


class RequestMemoryTests(TestCase):
    """Unanswered requests are bounded, for each searcher and in all."""

    def setUp(self) -> None:
        """Create limits; the share of a searcher is 32 KiB."""
        self.memory = RequestMemory(100_000, lambda: 1 / 1024)

    def test_searcher_gets_no_more_than_its_share(self) -> None:
        """Guards against a searcher whose memory one VM's requests exceed."""
        with self.memory.hold(('a', 1), 20_000):
            with self.assertRaises(RequestMemoryError):
                self.memory.check(('a', 1), 20_000)
            self.memory.check(('a', 2), 20_000)
        self.memory.check(('a', 1), 20_000)
        self.assertEqual(self.memory.held_bytes, 0)

    def test_single_large_request_is_sent(self) -> None:
        """Guards against a request that no searcher may ever get."""
        with self.memory.hold(('a', 1), 90_000):
            self.assertEqual(self.memory.held_bytes, 90_000)

    def test_requests_to_all_searchers_are_bounded(self) -> None:
        """Guards against a copy of a large body for each of many shards."""
        with self.memory.hold(('a', 1), 90_000):
            with self.assertRaises(RequestMemoryError):
                self.memory.check(('b', 1), 20_000)


async def _exchange(
    served: _EarlySearcher, count: int, responses_held: int
) -> tuple[list[Any], list[SearcherConnection]]:
    """Send large requests at once, each on a connection of its own."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    params = ConnectionParameters(max_held_bytes=responses_held * _HELD_BYTES)
    pools = SearcherPools(PlatformSearcherCodec(), anyio.current_time, params)
    searcher = create_searcher('s', port=port)
    outcomes: list[Any] = []
    connections: list[SearcherConnection] = []

    async def send() -> None:
        connection = await pools.acquire(searcher, 'a', at_most_once=True)
        connections.append(connection)
        try:
            outcomes.append(await connection.exchange(bytes(_LARGE_BYTES), 'a'))
        except OutcomeUnknownError as error:
            outcomes.append(error)
        finally:
            await connection.close()

    with anyio.fail_after(_TIMEOUT_S):
        async with listener, anyio.create_task_group() as serving:
            serving.start_soon(listener.serve, served.serve)
            async with anyio.create_task_group() as sending:
                for _ in range(count):
                    sending.start_soon(send)
            serving.cancel_scope.cancel()
    return outcomes, connections
