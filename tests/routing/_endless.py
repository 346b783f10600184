"""Connections to simulated searchers that send without end."""

import itertools
from collections.abc import Callable, Iterator
from typing import Any

import anyio

from jacinthcart.catalogue import Searcher
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import ConnectionParameters, SearcherPools
from jacinthcart.routing._pool import SearcherConnection
from jacinthcart.streams import ProcessingBudget

#: Simulated processor time of each slice.
SLICE_S = 0.0007
_READ_BYTES = 65536
_HEAD = (
    b'HTTP/1.1 200 OK\r\nx-jacinthcart-request-id: 1\r\n'
    b'x-jacinthcart-server-stamp: s\r\n'
)
_CHUNKED = b'%stransfer-encoding: chunked\r\n\r\n' % _HEAD
_HUGE_CHUNK = b'fffffffffff\r\n'
ONE_BYTE_CHUNK = b'1\r\nx\r\n'
#: What endless responses begin with and what they repeat.
ENDLESS_FORMS = {
    'chunks of one byte': (_CHUNKED, ONE_BYTE_CHUNK),
    'events': (_CHUNKED, b'9\r\ndata: {"a\r\n5\r\n":1}\n\r\n1\r\n\n\r\n'),
    'line ends': (_CHUNKED + _HUGE_CHUNK, b'\r\n'),
    'one chunk': (_CHUNKED + _HUGE_CHUNK, b'a'),
    'no length': (b'%s\r\n' % _HEAD, b'a'),
    'told length': (b'%scontent-length: 9000000\r\n\r\n' % _HEAD, b'a'),
    'trailer': (b'%s0\r\n' % _CHUNKED, b'x: y\r\n'),
}


def create_response(content: bytes) -> bytes:
    """Return a response with a known length."""
    return b'%scontent-length: %d\r\n\r\n%s' % (_HEAD, len(content), content)


def create_chunked_response(content: bytes, chunk_bytes: int) -> bytes:
    """Return a response in chunks."""
    chunks = (
        content[start : start + chunk_bytes]
        for start in range(0, len(content), chunk_bytes)
    )
    coded = b''.join(b'%x\r\n%s\r\n' % (len(one), one) for one in chunks)
    return b'%s%s0\r\n\r\n' % (_CHUNKED, coded)


def send_endless(form: str) -> Iterator[bytes]:
    """Return what is received of an endless response."""
    start, repeated = ENDLESS_FORMS[form]
    count = _READ_BYTES // len(repeated)
    return itertools.chain([start], itertools.repeat(repeated * count))


def create_processor_clock() -> Callable[[], float]:
    """Return a clock by which each slice takes the same processor time."""
    return itertools.count(step=SLICE_S).__next__


class EndlessStream:
    """A stream whose peer sends given bytes, each some time after the last."""

    def __init__(self, received: Iterator[bytes], delay_s: float = 0) -> None:
        """Create the stream."""
        self.received_bytes = 0
        self._received = received
        self._delay_s = delay_s

    def extra(self, attribute: Any) -> None:
        """Return no attribute."""

    async def send(self, message: bytes) -> None:
        """Discard the request."""

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next bytes; wait if there are no more."""
        await anyio.sleep(self._delay_s)
        received = next(self._received, None)
        if received is None:
            await anyio.sleep_forever()
        assert received is not None
        self.received_bytes += len(received)
        return received

    async def aclose(self) -> None:
        """Close."""


class EndlessPools(SearcherPools):
    """Pools whose connections are streams of a simulated searcher."""

    def __init__(
        self,
        create_stream: Callable[[Searcher], EndlessStream],
        max_held_bytes: int = 64_000_000,
    ) -> None:
        """Create the pools."""
        self.streams: list[tuple[Searcher, EndlessStream]] = []
        self._create_stream = create_stream
        super().__init__(
            PlatformSearcherCodec(),
            anyio.current_time,
            ConnectionParameters(max_held_bytes=max_held_bytes),
            processing=ProcessingBudget(
                read_processor_s=create_processor_clock()
            ),
        )

    @property
    def held_bytes(self) -> int:
        """Bytes held for all responses."""
        return self._memory.held_bytes

    def sum_received_bytes(self, searcher_id: str) -> int:
        """Return the bytes received from a searcher."""
        return sum(
            stream.received_bytes
            for searcher, stream in self.streams
            if searcher.searcher_id == searcher_id
        )

    async def _open(self, searcher: Searcher) -> SearcherConnection:
        stream: Any = self._create_stream(searcher)
        self.streams.append((searcher, stream))
        return SearcherConnection(
            stream,
            self._codec,
            self._memory,
            anyio.current_time(),
            self._long_responses.open(searcher),
        )
