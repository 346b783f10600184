"""Tests of the count of what the responses of searchers hold."""

import contextlib
import itertools
import time
import tracemalloc
import weakref
from collections.abc import Iterator
from typing import Any
from unittest import TestCase

import anyio

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import SearcherResponse
from jacinthcart.routing._pool import SearcherConnection
from jacinthcart.routing._receive_buffer import RECEIVE_BUFFER_BYTES
from jacinthcart.routing._response_memory import ResponseMemory
from tests.support import run_in_virtual_time

_HEAD = b'HTTP/1.1 200 OK\r\nx-jacinthcart-request-id: a\r\n'
_BLOCK = bytes(60_000)
_LIMIT_BYTES = 4_000_000


class _Stream:
    """A stream whose peer sends pieces and then stalls."""

    def __init__(self, pieces: Iterator[bytes], delay_s: float = 0) -> None:
        """Create a stream whose pieces arrive `delay_s` apart."""
        self._pieces = pieces
        self._delay_s = delay_s

    def extra(self, attribute: Any) -> None:
        """Return no attribute."""

    async def send(self, message: bytes) -> None:
        """Take the request."""

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next piece."""
        await anyio.sleep(self._delay_s)
        piece = next(self._pieces, None)
        if piece is None:
            await anyio.sleep_forever()
        return piece or b''


class _Discardable:
    """Owns the hold of a response in progress."""

    def __init__(self, memory: ResponseMemory, held_bytes: int) -> None:
        """Open the hold and make room."""
        self.hold: Any = memory.open(
            weakref.WeakMethod(self.discard), held_bytes
        )
        memory.make_room()

    def discard(self) -> None:
        """Drop the hold."""
        self.hold = None


class ResponseMemoryTests(TestCase):
    """What is held is what is counted, and the limit holds for all of it."""

    def setUp(self) -> None:
        """Create the limit."""
        self.memory = ResponseMemory(_LIMIT_BYTES)
        self.responses: list[SearcherResponse] = []

    def test_complete_response_is_counted_until_it_is_dropped(self) -> None:
        """Guards against parts that wait for others and that no one counts."""
        self._receive(_create_sound(20))
        self.assertGreaterEqual(self.memory.held_bytes, 20 * len(_BLOCK))
        self.responses.clear()
        self.assertEqual(self.memory.held_bytes, 0)

    def test_response_without_room_beside_complete_ones_fails(self) -> None:
        """Guards against complete responses that exceed the limit together."""
        with self.assertRaisesRegex(OutcomeUnknownError, 'too large'):
            for _ in range(10):
                self._receive(_create_sound(20))
                self.assertLessEqual(self.memory.held_bytes, _LIMIT_BYTES)
        self.assertGreater(len(self.responses), 1)
        self.assertLessEqual(self.memory.held_bytes, _LIMIT_BYTES)

    def test_small_response_without_room_fails(self) -> None:
        """Guards against many small responses that exceed the limit."""
        with self.assertRaisesRegex(OutcomeUnknownError, 'too large'):
            for _ in range(100):
                sound = b''.join(_create_sound(1))
                self._receive(iter([sound]))
        self.assertLessEqual(self.memory.held_bytes, _LIMIT_BYTES)

    def test_response_beyond_the_limit_takes_no_others_along(self) -> None:
        """Guards against sound responses given up beside an endless one."""
        for head in (b'', b'transfer-encoding: chunked\r\n'):
            with self.subTest(head):
                self.responses.clear()
                self.assertEqual(
                    run_in_virtual_time(self._receive_beside_endless, head), 5
                )

    def test_body_that_something_keeps_is_counted(self) -> None:
        """Guards against a count that falls while the bytes remain."""
        head = b'%s\r\n' % _HEAD
        stream: Any = _Stream(
            itertools.chain([head], itertools.repeat(_BLOCK, 10))
        )
        kept = run_in_virtual_time(self._keep_body, stream)
        self.assertGreaterEqual(self.memory.held_bytes, 10 * len(_BLOCK))
        kept.clear()
        self.assertEqual(self.memory.held_bytes, 0)

    def test_buffers_of_the_connection_are_counted(self) -> None:
        """Guards against queues of endless responses that no one counts."""
        head = b'%s\r\n' % _HEAD
        stream: Any = _Stream(
            itertools.chain([head], itertools.repeat(_BLOCK, 10))
        )
        kept = run_in_virtual_time(self._keep_body, stream)
        self.assertGreaterEqual(
            self.memory.held_bytes,
            10 * len(_BLOCK) + 2 * RECEIVE_BUFFER_BYTES,
        )
        kept.clear()

    def test_complete_body_is_not_copied(self) -> None:
        """Guards against a body that takes twice its size as it completes."""
        self.memory = ResponseMemory(64_000_000)
        tracemalloc.start()
        self._receive(_create_sound(200))
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertEqual(len(self.responses), 1)
        self.assertLess(peak_bytes, 200 * len(_BLOCK) * 1.5)

    def test_full_memory_does_not_search_all_responses(self) -> None:
        """Guards against time that each block takes for all connections."""
        started_s = time.process_time()
        held = [
            _Discardable(self.memory, 1000 + number % 20)
            for number in range(20_000)
        ]
        self.assertLess(time.process_time() - started_s, 2)
        living = sum(one.hold is not None for one in held)
        self.assertGreater(living, 3000)
        self.assertLessEqual(self.memory.held_bytes, _LIMIT_BYTES)

    def _receive(self, pieces: Iterator[bytes]) -> None:
        stream: Any = _Stream(pieces)
        run_in_virtual_time(self._exchange, stream)

    async def _exchange(self, stream: Any) -> None:
        codec = PlatformSearcherCodec()
        connection = SearcherConnection(stream, codec, self.memory, 0)
        self.responses.append(await connection.exchange(b'', 'a'))

    async def _receive_beside_endless(self, framing: bytes) -> int:
        """Return how many of five sound responses arrive."""
        head = b'%s%s\r\n' % (_HEAD, framing)
        chunk = b'fffffff\r\n' if framing else b''
        endless: Any = _Stream(
            itertools.chain([head, chunk], itertools.repeat(_BLOCK))
        )
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                sound: Any = _Stream(_create_sound(6), delay_s=0.1)
                tasks.start_soon(self._exchange, sound)
            await anyio.sleep(0.35)
            with contextlib.suppress(OutcomeUnknownError):
                await self._exchange(endless)
        return len(self.responses)

    async def _keep_body(self, stream: Any) -> list[Any]:
        codec = PlatformSearcherCodec()
        connection = SearcherConnection(stream, codec, self.memory, 0)
        kept: list[Any] = []
        with anyio.move_on_after(1):
            await connection.exchange(b'', 'a')
        kept.append(connection._parser._body)
        connection._parser.release()
        return kept


def _create_sound(blocks: int) -> Iterator[bytes]:
    """Return the pieces of a response with so many blocks."""
    length = blocks * len(_BLOCK)
    head = b'%scontent-length: %d\r\n\r\n' % (_HEAD, length)
    return itertools.chain([head], itertools.repeat(_BLOCK, blocks))
