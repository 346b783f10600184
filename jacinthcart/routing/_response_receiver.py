"""Receiving of responses on a connection to a searcher."""

import functools

import anyio
from anyio.abc import ByteStream

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.routing._codec import ResponseHead
from jacinthcart.routing._failure import copy_without_traceback
from jacinthcart.routing._long_responses import (
    ResponseReading,
    SearcherReading,
)
from jacinthcart.routing._response_parser import ResponseParser, do_nothing
from jacinthcart.streams import SLICE_BYTES, STREAM_FAILURES

_RECEIVE_BYTES = 65536


class ResponseReceiver:
    """Receives responses within the limits of long ones."""

    def __init__(
        self,
        stream: ByteStream,
        parser: ResponseParser,
        reading: SearcherReading,
    ) -> None:
        """Receive from `stream` into `parser`."""
        self.parser = parser
        #: Whether the last response was long and did not end.
        self.is_unfinished = False
        self._stream = stream
        self._reading = reading

    async def receive(self) -> tuple[ResponseHead, bytes]:
        """Return the next complete response; raise OutcomeUnknownError."""
        parser = self.parser
        parsed_bytes = await self._receive_small()
        if parser.complete:
            return parser.complete.pop(0)
        reading = self._reading.begin_response(parsed_bytes)
        try:
            with anyio.CancelScope() as scope:
                # A response that waits is given up at once, too.
                parser.on_discard = scope.cancel
                await self._receive_rest(reading)
        finally:
            parser.on_discard = do_nothing
        if parser.failure is not None and not parser.complete:
            raise copy_without_traceback(parser.failure)
        self.is_unfinished = False
        return parser.complete.pop(0)

    async def _receive_small(self) -> int:
        """Receive once; return the bytes parsed, none if they are many."""
        parser = self.parser
        if parser.complete or parser.compute_next_length():
            return 0
        if parser.failure is not None:
            raise copy_without_traceback(parser.failure)
        received = await self._receive_bytes()
        if len(received) > SLICE_BYTES:
            self._add(received)
            return 0
        parser.progress.feed(parser.feed, received)
        return len(received)

    async def _receive_rest(self, reading: ResponseReading) -> None:
        parser = self.parser
        while not parser.complete and not reading.processing.is_long:
            await self._receive_part(reading)
        if parser.complete:
            return
        self.is_unfinished = True
        with reading.release_slot():
            while not parser.complete:
                await reading.take_slot()
                await self._receive_part(reading)

    async def _receive_part(self, reading: ResponseReading) -> None:
        parser = self.parser
        if parser.failure is not None:
            raise copy_without_traceback(parser.failure)
        length = parser.compute_next_length()
        if not length:
            self._add(await self._receive_bytes())
            length = parser.compute_next_length()
        if length:
            await reading.processing.process(
                length,
                functools.partial(parser.progress.parse, parser.parse_next),
                is_copied=parser.is_copying,
            )

    def _add(self, received: bytes) -> None:
        self.parser.progress.record_received(len(received))
        self.parser.add(received)

    async def _receive_bytes(self) -> bytes:
        try:
            return await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream as error:
            self.parser.finish()
            if not self.parser.complete:
                raise OutcomeUnknownError('connection closed') from error
        except STREAM_FAILURES as error:
            raise OutcomeUnknownError(f'receive: {error!r}') from error
        return b''
