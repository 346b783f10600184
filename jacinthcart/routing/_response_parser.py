"""Parsing of the responses that arrive on a connection to a searcher."""

import weakref
from collections.abc import Callable

from jacinthcart.errors import MalformedResponseError, OutcomeUnknownError
from jacinthcart.routing._body import BaseResponseBody, create_body
from jacinthcart.routing._codec import BaseSearcherCodec, ResponseHead
from jacinthcart.routing._failure import copy_without_traceback
from jacinthcart.routing._response_memory import (
    HeldBytes,
    ResponseHold,
    ResponseMemory,
)
from jacinthcart.routing._response_progress import ResponseProgress
from jacinthcart.streams import COPY_SLICE_BYTES, SLICE_BYTES
from jacinthcart.wire import ParsedHead, ResponseHeadParser

#: Pieces of a slice up to which the next slice may be twice as large.
_MAX_CHEAP_PIECES = 16
_HEAD_END = b'\r\n\r\n'


class BodyRule:
    """Decides whether the body that a head announces follows it."""

    def __init__(self, codec: BaseSearcherCodec) -> None:
        """Create the rule of a connection that has carried no request."""
        #: Id of the request in progress if its response has no body.
        self.bodyless_id: str | None = None
        self._codec = codec

    def has_body(self, head: ResponseHead) -> bool:
        """Return whether the announced body follows the head."""
        # A late response to another request may arrive first.
        if self.bodyless_id is None:
            return True
        return self._codec.find_request_id(head) != self.bodyless_id


def _choose_slice_bytes(last_bytes: int, pieces: int) -> int:
    """Return the bytes to parse after a slice that had `pieces`.

    Large pieces cost little more than copying them.
    """
    if pieces > _MAX_CHEAP_PIECES:
        return SLICE_BYTES
    return min(2 * last_bytes, COPY_SLICE_BYTES)


def do_nothing() -> None:
    """Do nothing."""


class _ResponseAccount:
    """Counts what a connection holds of the response in progress."""

    def __init__(
        self, memory: ResponseMemory, discard: Callable[[], None]
    ) -> None:
        """Create an empty account; `discard` gives up the response."""
        self._memory = memory
        self._hold: ResponseHold | None = None
        # A strong reference would make the account and the parser a cycle.
        self._discard = weakref.WeakMethod(discard)

    @property
    def is_open(self) -> bool:
        """Return whether a response in progress is counted."""
        return self._hold is not None

    def clear(self) -> None:
        """Stop holding the response."""
        self._hold = None

    def record(self, held: HeldBytes, body: BaseResponseBody | None) -> None:
        """Set the held bytes, which may discard the response."""
        if self._hold is None:
            self._hold = self._memory.open(self._discard, 0)
        if body is not None:
            body.hold = self._hold
        # If the body is discarded below, it must not be held any longer.
        body = None
        self._memory.resize(self._hold.reference, held)

    def complete(self, held_bytes: int) -> ResponseHold | None:
        """Return the hold of a complete response; None if there is no room."""
        hold = self._hold
        memory = self._memory
        if hold is not None:
            self._hold = None
            memory.complete(hold.reference, held_bytes)
            return hold
        hold = memory.open_complete(held_bytes)
        if memory.is_full:
            memory.make_room()
        return None if memory.is_full else hold


class ResponseParser:
    """Collects the complete responses that arrive on a connection."""

    def __init__(
        self,
        memory: ResponseMemory,
        has_body: Callable[[ResponseHead], bool],
        count_buffered: Callable[[], int] | None = None,
    ) -> None:
        """Create a parser in its initial state.

        `has_body` returns whether the body that a head announces follows it.
        `count_buffered` returns what the connection's buffers hold.
        """
        self.complete: list[tuple[ResponseHead, bytes]] = []
        #: Why no further response can be read; None while one can.
        self.failure: OutcomeUnknownError | None = None
        #: Whether another response may follow the last complete one.
        self.keeps_open = True
        self.progress = ResponseProgress(memory.bodies)
        #: Called as the response in progress is given up.
        self.on_discard: Callable[[], None] = do_nothing
        self._heads = ResponseHeadParser()
        self._head: ParsedHead | None = None
        self._body: BaseResponseBody | None = None
        self._has_body = has_body
        self._count_buffered = count_buffered
        self._account = _ResponseAccount(memory, self.discard)
        #: Received bytes that are parsed from `_parsed` on.
        self._received = b''
        self._parsed = 0
        self._slice_bytes = SLICE_BYTES

    @property
    def is_in_response(self) -> bool:
        """Return whether a part of a response has arrived."""
        if self._parsed < len(self._received):
            return True
        return self._body is not None or self._heads.is_started

    @property
    def is_copying(self) -> bool:
        """Return whether the next bytes are only copied."""
        return self._body is not None and self._body.is_plain

    def compute_next_length(self) -> int:
        """Return how many of the received bytes are to be parsed next."""
        left = len(self._received) - self._parsed
        if self.is_copying:
            return min(left, COPY_SLICE_BYTES)
        if left <= SLICE_BYTES:
            return left
        end = min(self._parsed + self._slice_bytes, len(self._received))
        if self._body is None:
            # The bytes after a head may be only copied.
            found = self._received.find(_HEAD_END, self._parsed, end)
            end = end if found < 0 else found + len(_HEAD_END)
        return end - self._parsed

    def add(self, received: bytes) -> None:
        """Hold received bytes; all earlier ones must be parsed."""
        if self.failure is not None:
            return
        self._received = received
        self._parsed = 0
        self._record_held()

    def feed(self, received: bytes) -> None:
        """Parse bytes at once; all earlier ones must be parsed."""
        if self.failure is not None:
            return
        # A response that this read completes is counted as it is complete.
        if self._account.is_open:
            self._record_held(len(received))
        self._parse_all(received)
        if self.is_in_response:
            self._record_held()

    def parse_next(self) -> None:
        """Parse the next of the bytes that are held."""
        body = self._body
        pieces = body.pieces if body else 0
        end = self._parsed + self.compute_next_length()
        rest = self._received[self._parsed : end]
        self._parsed = end
        if end == len(self._received):
            self._received = b''
            self._parsed = 0
        self._parse_all(rest)
        if body is not None and body is self._body:
            self._slice_bytes = _choose_slice_bytes(
                self._slice_bytes, body.pieces - pieces
            )
        # If the body is discarded below, it must not be held any longer.
        body = None
        if self.is_in_response:
            self._record_held()

    def release(self) -> None:
        """Drop the response in progress, which no one needs any more."""
        self.progress.end_body(self._body)
        # Neither its last bytes nor the end of the stream may complete it.
        self._head = None
        self._body = None
        self._heads = ResponseHeadParser()
        self._received = b''
        self._parsed = 0
        self._account.clear()

    def discard(self) -> None:
        """Give up the response in progress and all that follow."""
        self.progress.was_discarded = True
        self._fail(OutcomeUnknownError('response is too large to be held'))
        self.on_discard()

    def finish(self) -> None:
        """Handle the end of the stream.

        It completes a response whose body is delimited by the close.
        """
        if self._body is not None:
            self._body.finish()
            self._complete_response()

    def _parse_all(self, received: bytes) -> None:
        """Parse bytes; a failure does not discard complete responses."""
        rest = received
        try:
            while rest and self.failure is None:
                rest = self._parse(rest)
        except MalformedResponseError as error:
            self._fail(error)

    def _fail(self, failure: OutcomeUnknownError) -> None:
        # The traceback of an error that was raised refers to this parser.
        self.failure = copy_without_traceback(failure)
        self.release()

    def _parse(self, received: bytes) -> bytes:
        """Parse a head or a body; return the bytes after it."""
        if self._body is not None:
            rest = self._body.feed(received)
        else:
            head = self._heads.feed(received)
            if head is None:
                return b''
            rest = self._heads.take_rest()
            self._head = head
            self._body = create_body(
                head,
                has_body=self._has_body(
                    ResponseHead(head.status, head.headers)
                ),
            )
            self.progress.begin_body(head, self._body)
        self._complete_response()
        return rest

    def _complete_response(self) -> None:
        head = self._head
        body = self._body
        if head is None or body is None or not body.is_complete:
            return
        self._head = None
        self._body = None
        self._slice_bytes = SLICE_BYTES
        self.keeps_open = head.keeps_open
        content = body.export_content()
        hold = self._account.complete(head.held_bytes + len(content))
        if hold is None:
            self.discard()
            return
        self.complete.append(
            (ResponseHead(head.status, head.headers, hold), content)
        )

    def _record_held(self, added_bytes: int = 0) -> None:
        """Record what is held, with bytes that are about to be parsed.

        This may discard the response in progress.
        """
        held_bytes = self._heads.held_bytes + len(self._received) + added_bytes
        buffered_bytes = 0
        if self._head is not None and self._body is not None:
            held_bytes += self._head.held_bytes
            held_bytes += self._body.compute_held_bytes()
            buffered_bytes = self._body.compute_buffered_bytes()
        held = HeldBytes(held_bytes, buffered_bytes, self._count_buffered)
        self._account.record(held, self._body)
