"""Tests of connection pools."""

import itertools
import tracemalloc
from collections.abc import Iterator
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.routing import (
    BaseSearcherCodec,
    ConnectionParameters,
    SearcherPools,
)
from jacinthcart.routing._pool import SearcherConnection
from jacinthcart.routing._response_memory import ResponseMemory
from tests.support import create_searcher, run_in_virtual_time


#: Limit of all responses in progress together.
_HELD_BYTES = 8_000_000


class FakeConnection:
    """A connection that takes time to close."""

    def __init__(self) -> None:
        """Create a usable connection."""
        self.is_usable = True
        self.was_used = True
        self.used_at = 0.0
        self.idle_until = 0.0

    def has_no_input(self) -> bool:
        """Return True: no data arrived."""
        return True

    def may_carry(self, request_id: str) -> bool:
        """Return True: no request failed on it."""
        return True

    async def close(self) -> None:
        """Close after a delay, so that other tasks run meanwhile."""
        await anyio.sleep(0.1)


class SearcherPoolsTests(TestCase):
    """A connection is used for one request at a time."""

    def test_connection_acquired_during_cleanup_is_not_acquired_again(
        self,
    ) -> None:
        """Guards against two requests that acquire the same connection.

        One of them acquired it while idle connections were being closed. Two
        requests on one connection terminated the process.
        """
        taken = run_in_virtual_time(self._take_during_clean_up)
        self.assertEqual(len(taken), len(set(taken)))

    async def _take_during_clean_up(self) -> list[int]:
        searcher = create_searcher('a')
        pools = SearcherPools(
            None,  # type: ignore[arg-type]
            anyio.current_time,
            ConnectionParameters(connect_timeout_s=0.01, idle_timeout_s=1),
        )
        old, *recent = [FakeConnection() for _ in range(3)]
        await pools.release(searcher, old, None)  # type: ignore[arg-type]
        await anyio.sleep(0.9)
        for one in recent:
            await pools.release(searcher, one, None)  # type: ignore[arg-type]
        await anyio.sleep(0.2)
        taken = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pools.close_idle)
            await anyio.sleep(0.05)
            taken.append(
                await pools.acquire(searcher, 'id', at_most_once=False)
            )
            await anyio.sleep(0.2)
        taken.append(await pools.acquire(searcher, 'id', at_most_once=False))
        return [id(one) for one in taken]

    def test_connection_that_was_not_used_is_not_recent(self) -> None:
        """Guards against a request on a connection that is about to be closed.

        An attempt that was cancelled before it sent anything made its
        connection count as used. One that had been idle for long carried a
        request that may run only once.
        """
        run_in_virtual_time(self._return_unused)

    async def _return_unused(self) -> None:
        searcher = create_searcher('a')
        pools = SearcherPools(
            None,  # type: ignore[arg-type]
            anyio.current_time,
            ConnectionParameters(idle_timeout_s=1, at_most_once_idle_s=0.4),
        )
        connection = FakeConnection()
        await pools.release(searcher, connection, None)  # type: ignore[arg-type]
        for at_most_once in (False, True):
            await anyio.sleep(0.3)
            with mock.patch.object(pools, '_open') as opened:
                taken = await pools.acquire(
                    searcher, 'id', at_most_once=at_most_once
                )
            self.assertIs(opened.called, at_most_once)
            await pools.release(searcher, taken, None)


class _ScriptedStream:
    """Stream whose peer sends the given chunks."""

    def __init__(self, chunks: Iterator[bytes]) -> None:
        """Create the stream."""
        self.received_bytes = 0
        #: Seconds between the last chunk and the end of the stream.
        self.end_delay_s = 0.0
        self._chunks = chunks

    def extra(self, attribute: Any) -> None:
        """Return no attribute."""

    async def send(self, message: bytes) -> None:
        """Discard the request."""

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next chunk."""
        await anyio.sleep(0)
        chunk = next(self._chunks, None)
        if chunk is None:
            await anyio.sleep(self.end_delay_s)
            raise anyio.EndOfStream
        self.received_bytes += len(chunk)
        return chunk


class EndlessResponseTests(TestCase):
    """A searcher in trouble may send bytes without end.

    Without limits, a VM collects them until its process is killed.
    """

    def test_endless_header_section_ends_the_attempt(self) -> None:
        """Guards against collecting headers without end."""
        head = b'HTTP/1.1 200 OK\r\n'
        field = b'x-filler: %s\r\n' % (b'a' * 1000)
        self._check([head], field)

    def test_endless_header_field_ends_the_attempt(self) -> None:
        """Guards against a single field without end."""
        self._check([b'HTTP/1.1 200 OK\r\nx-filler: '], b'a' * 1000)

    def test_endless_body_ends_the_attempt(self) -> None:
        """Guards against a body that only the connection's end delimits."""
        self._check([b'HTTP/1.1 200 OK\r\n\r\n'], b'a' * 60_000)

    def test_endless_chunked_body_ends_the_attempt(self) -> None:
        """Guards against a chunked body without end."""
        head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        self._check([head], b'ea60\r\n%s\r\n' % (b'a' * 60_000))

    def test_endless_small_chunks_end_the_attempt(self) -> None:
        """Guards against an object in memory for each chunk of two bytes."""
        head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        held = self._measure([head], b'2\r\nab\r\n' * 9000)
        self.assertLess(held, 4_000_000)

    def test_endless_trailers_end_the_attempt(self) -> None:
        """Guards against trailers that are kept like headers."""
        head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        held = self._measure([head, b'0\r\n'], b'x: y\r\n' * 10_000)
        self.assertLess(held, 4_000_000)

    def test_many_short_headers_end_the_attempt(self) -> None:
        """Guards against objects in memory for thousands of headers."""
        held = self._measure([b'HTTP/1.1 200 OK\r\n'], b'x:\r\n' * 10_000)
        self.assertLess(held, 4_000_000)

    def test_responses_together_are_limited(self) -> None:
        """Guards against many endless responses at once.

        A small response of another searcher still arrives.
        """
        held = run_in_virtual_time(self._exchange_many)
        # A body that grows is copied, so it may need twice its size.
        self.assertLess(held, 2 * _HELD_BYTES)

    def test_discarded_response_is_never_complete(self) -> None:
        """Guards against a response that lost its body and looks complete.

        The close of the connection ends the body that was discarded.
        """
        run_in_virtual_time(self._close_after_discard)

    def test_response_that_is_cut_anywhere_is_not_complete(self) -> None:
        """Guards against a response that looks complete although it is cut."""
        response = b'HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 3\r\n\r\nabc'
        for end, _ in enumerate(response):
            stream = _ScriptedStream(iter([response[:end]]))
            with self.assertRaises(OutcomeUnknownError):
                run_in_virtual_time(self._exchange, stream)

    def test_endless_interim_responses_end_the_attempt(self) -> None:
        """Guards against interim responses without end."""
        self._check([], b'HTTP/1.1 100 Continue\r\n\r\n')

    def test_interim_response_is_not_the_response(self) -> None:
        """Guards against callers that get an interim response.

        It may name the same request as the response that follows.
        """
        interim = b'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'
        response = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na'
        message = interim * 3 + response
        for piece_bytes in (1, len(message)):
            pieces = [
                message[start : start + piece_bytes]
                for start in range(0, len(message), piece_bytes)
            ]
            statuses = run_in_virtual_time(self._list_statuses, pieces)
            self.assertEqual(statuses, [200])

    def test_large_response_is_received(self) -> None:
        """A limit must not reject what a searcher may send."""
        body = b'a' * 4_000_000
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        stream = _ScriptedStream(iter([head, body]))
        run_in_virtual_time(self._exchange, stream)

    async def _list_statuses(self, pieces: list[bytes]) -> list[int]:
        """Return the statuses of the responses that the codec decodes."""
        codec = mock.create_autospec(BaseSearcherCodec, instance=True)
        codec.find_request_id.return_value = 'id'
        stream: Any = _ScriptedStream(iter(pieces))
        memory = ResponseMemory(64_000_000)
        await SearcherConnection(stream, codec, memory, 0).exchange(b'', 'id')
        return [
            call.args[0].status for call in codec.decode_response.call_args_list
        ]

    async def _close_after_discard(self) -> None:
        memory = ResponseMemory(_HELD_BYTES)
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        chunk = b'a' * 60_000
        large = _ScriptedStream(
            itertools.chain([head], itertools.repeat(chunk, 90))
        )
        large.end_delay_s = 1
        length = len(chunk) * 80
        small = [b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % length]
        small.extend(itertools.repeat(chunk, 80))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expect_failure, large, memory)
            await anyio.sleep(0.5)
            await self._exchange(_ScriptedStream(iter(small)), memory)

    async def _exchange_many(self) -> int:
        memory = ResponseMemory(_HELD_BYTES)
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        tracemalloc.start()
        endless = [
            _ScriptedStream(
                itertools.chain([head], itertools.repeat(b'a' * 60_000))
            )
            for _ in range(20)
        ]
        small = [b'HTTP/1.1 200 OK\r\n', b'content-length: 1\r\n\r\n', b'a']
        async with anyio.create_task_group() as tasks:
            for stream in endless:
                tasks.start_soon(self._expect_failure, stream, memory)
            await self._exchange(_ScriptedStream(iter(small)), memory)
        held = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertEqual(memory.held_bytes, 0)
        return held

    async def _expect_failure(
        self, stream: '_ScriptedStream', memory: ResponseMemory
    ) -> None:
        with self.assertRaises(OutcomeUnknownError):
            await self._exchange(stream, memory)

    def _measure(self, start: list[bytes], repeated: bytes) -> int:
        """Return the most bytes allocated during an endless response."""
        tracemalloc.start()
        try:
            self._check(start, repeated)
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    def _check(self, start: list[bytes], repeated: bytes) -> None:
        chunks = itertools.chain(
            start, itertools.repeat(repeated, 100_000_000 // len(repeated))
        )
        stream = _ScriptedStream(chunks)
        with self.assertRaises(OutcomeUnknownError):
            run_in_virtual_time(self._exchange, stream)
        self.assertLess(stream.received_bytes, 32_000_000)

    async def _exchange(
        self, stream: Any, memory: ResponseMemory | None = None
    ) -> None:
        codec = mock.create_autospec(BaseSearcherCodec, instance=True)
        codec.find_request_id.side_effect = lambda head: (
            'id' if head.status == 200 else None
        )
        memory = memory or ResponseMemory(64_000_000)
        connection = SearcherConnection(stream, codec, memory, 0)
        await connection.exchange(b'', 'id')
        # The mock keeps its arguments, which hold the response.
        codec.reset_mock()
