"""Tests of what remains in memory of a response that is given up."""

import gc
import itertools
import weakref
from collections.abc import Iterator
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import SearcherResponse
from jacinthcart.routing import _response_parser as parser_module
from jacinthcart.routing._body import BaseResponseBody
from jacinthcart.routing._call import Attempt
from jacinthcart.routing._outcome import INTERNAL_ERROR
from jacinthcart.routing._pool import SearcherConnection
from jacinthcart.routing._response_memory import ResponseMemory
from tests.support import create_searcher, run_in_virtual_time

_HEAD = b'HTTP/1.1 200 OK\r\nx-jacinthcart-request-id: a\r\n'
_CHUNKED_HEAD = b'%stransfer-encoding: chunked\r\n\r\n' % _HEAD
_CHUNK = b'ea60\r\n%s\r\n' % bytes(60_000)
_LAST_CHUNK = b'0\r\n\r\n'
#: More than is sent at once.
_LARGE_REQUEST = bytes(100_000)


class _Stream:
    """A stream whose peer sends pieces, and then closes or stalls."""

    def __init__(self, pieces: Iterator[bytes], *, stalls: bool) -> None:
        """Create the stream."""
        self._pieces = pieces
        self._stalls = stalls

    def extra(self, attribute: Any) -> None:
        """Return no attribute."""

    async def send(self, message: bytes) -> None:
        """Take the request."""
        await anyio.sleep(0)

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next piece."""
        await anyio.sleep(0)
        piece = next(self._pieces, None)
        if piece is not None:
            return piece
        if self._stalls:
            await anyio.sleep_forever()
        raise anyio.EndOfStream

    async def aclose(self) -> None:
        """Close."""
        await anyio.sleep(0)


class _AttemptOwner:
    """Holds an attempt and is told of its end."""

    def __init__(self) -> None:
        """Create the owner without an attempt."""
        self.attempt: Attempt | None = None
        self.ended = 0

    def on_end(self, attempt: Attempt) -> None:
        """Record the end."""
        self.ended += 1


class ReleasedMemoryTests(TestCase):
    """Nothing of a response is left to the cyclic garbage collector.

    Responses without end fill the memory before it runs.
    """

    def setUp(self) -> None:
        """Turn the collector off and watch bodies and connections."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        self.living: weakref.WeakSet[Any] = weakref.WeakSet()
        self.bodies = 0
        create = parser_module.create_body
        patch = mock.patch.object(
            parser_module,
            'create_body',
            lambda *args, **kwargs: self._watch(create(*args, **kwargs)),
        )
        patch.start()
        self.addCleanup(patch.stop)

    def test_cancelled_response_is_freed(self) -> None:
        """Guards against bodies that outlive the attempt's time limit."""
        self._check([_CHUNKED_HEAD, _CHUNK], 'cancelled', stalls=True)

    def test_response_on_a_closed_connection_is_freed(self) -> None:
        """Guards against bodies that outlive their connection."""
        self._check([_CHUNKED_HEAD, _CHUNK], 'connection closed')

    def test_malformed_response_is_freed(self) -> None:
        """Guards against bodies that the traceback of a failure holds."""
        self._check([_CHUNKED_HEAD, _CHUNK, b'junk'], 'chunked body')

    def test_malformed_first_read_is_freed(self) -> None:
        """Guards against received bytes that a kept failure holds."""
        self._check(
            [b''.join((_CHUNKED_HEAD, _CHUNK, b'junk'))], 'chunked body'
        )

    def test_discarded_response_is_freed(self) -> None:
        """Guards against bodies that the full memory gave up and that stay."""
        pieces = itertools.chain([_CHUNKED_HEAD], itertools.repeat(_CHUNK))
        self._check(pieces, 'too large to be held', limit_bytes=500_000)

    def test_complete_response_is_freed(self) -> None:
        """Guards against parsers that outlive a complete response."""
        self._check([_CHUNKED_HEAD, _CHUNK, _LAST_CHUNK], 'complete')

    def test_response_to_a_large_request_is_freed(self) -> None:
        """Guards against failures that hold the frames which keep them."""
        self._check(
            [_CHUNKED_HEAD, _CHUNK, b'junk'],
            'chunked body',
            message=_LARGE_REQUEST,
        )

    def test_cancelled_response_to_a_large_request_is_freed(self) -> None:
        """Guards against task groups that hold what their tasks received."""
        self._check(
            [_CHUNKED_HEAD, _CHUNK],
            'cancelled',
            stalls=True,
            message=_LARGE_REQUEST,
        )

    def test_attempt_that_has_ended_is_freed(self) -> None:
        """Guards against an attempt and its listener that hold each other."""
        run_in_virtual_time(self._end_attempt)
        self.assertEqual(list(self.living), [])

    async def _end_attempt(self) -> None:
        owner = _AttemptOwner()
        self._watch(owner)
        owner.attempt = Attempt(1, create_searcher('a'), owner.on_end)
        self._watch(owner.attempt)
        owner.attempt.end(INTERNAL_ERROR)
        self.assertEqual(owner.ended, 1)

    def _check(
        self,
        pieces: Any,
        expected: str,
        *,
        limit_bytes: int = 64_000_000,
        stalls: bool = False,
        message: bytes = b'',
    ) -> None:
        stream = _Stream(iter(pieces), stalls=stalls)
        memory = ResponseMemory(limit_bytes)
        end = run_in_virtual_time(self._exchange, stream, memory, message)
        self.assertIn(expected, end)
        self.assertGreater(self.bodies, 0)
        self.assertEqual(list(self.living), [])
        self.assertEqual(memory.held_bytes, 0)

    async def _exchange(
        self, stream: Any, memory: ResponseMemory, message: bytes
    ) -> str:
        """Return how the exchange ended; the task goes on for a moment."""
        end = await self._exchange_once(stream, memory, message)
        await anyio.sleep(1)
        return end

    async def _exchange_once(
        self, stream: Any, memory: ResponseMemory, message: bytes
    ) -> str:
        codec = PlatformSearcherCodec()
        connection = SearcherConnection(stream, codec, memory, 0)
        self._watch(connection)
        response: SearcherResponse | None = None
        end = 'cancelled'
        with anyio.move_on_after(1):
            try:
                response = await connection.exchange(message, 'a')
            except OutcomeUnknownError as error:
                end = str(error)
        await connection.close()
        return 'complete' if response is not None else end

    def _watch(self, watched: Any) -> Any:
        self.living.add(watched)
        self.bodies += isinstance(watched, BaseResponseBody)
        return watched
