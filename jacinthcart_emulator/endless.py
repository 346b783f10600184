"""Messages without end, for stand-ins of faulty servers and callers."""

import asyncio
import dataclasses
import itertools
import random
import time
import types
from collections.abc import Iterator, Mapping, Sequence

#: Bytes that are sent in one go.
BLOCK_BYTES = 65536
#: Bandwidth that all faulty senders of a process share, in bytes per second.
LINK_BYTES_PER_S = 125_000_000
#: Idle time in seconds that a link makes up for, as timers are coarse.
_LINK_CREDIT_S = 0.01
#: Name of the choice of another form for each connection.
MIXED = 'mixed'
_STEADY_PAUSE_S = 0.01
_KILOBYTE = 1024
_CHUNK_BYTES = 4096
_TOLD_BYTES = 16 * _KILOBYTE * _KILOBYTE
#: Far more than any VM has memory for.
_HUGE_BYTES = 10**15
#: Larger than the peers' longest message, and sent in one piece over loopback.
_OVERSIZE_BYTES = 8000
_RANDOM_BYTES = 1200
#: Number of different datagrams of a kind.
_DATAGRAM_COUNT = 64
_LINE_END = b'\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_REASONS = types.MappingProxyType({200: b'OK', 500: b'Internal Server Error'})


@dataclasses.dataclass(frozen=True)
class EndlessForm:
    """A response or request that begins well-formed and never ends."""

    #: Bytes that are repeated without end.
    unit: bytes
    #: Header lines with the framing of the body, each with its line end.
    framing: bytes = b''
    #: Bytes between the head and the first unit.
    prefix: bytes = b''
    #: Whether the head ends, so that the units belong to the body.
    has_complete_head: bool = True
    #: Whether the units come before the status line.
    is_before_head: bool = False
    #: Seconds between two units; 0 to send as fast as the link allows.
    pause_s: float = 0

    @property
    def block(self) -> bytes:
        """Bytes to send in one go."""
        if self.pause_s:
            return self.unit
        return self.unit * max(1, BLOCK_BYTES // len(self.unit))

    def encode_response(self, status: int, headers: Sequence[bytes]) -> bytes:
        """Return the beginning of a response, before the first unit.

        `headers` are lines without their line ends.
        """
        if self.is_before_head:
            return b''
        status_line = b'HTTP/1.1 %d %s' % (status, _REASONS[status])
        return self._encode([status_line, *headers])

    def encode_request(self, lines: Sequence[bytes]) -> bytes:
        """Return the beginning of a request with this line and headers."""
        return b'' if self.is_before_head else self._encode(lines)

    def _encode(self, lines: Sequence[bytes]) -> bytes:
        head = b''.join(line + _LINE_END for line in lines) + self.framing
        end = _LINE_END if self.has_complete_head else b''
        return head + end + self.prefix


def _encode_chunk(content: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(content), content)


def _create_length_framing(length: int) -> bytes:
    return b'Content-Length: %d\r\n' % length


_EVENT_FRAMING = b'%sContent-Type: text/event-stream\r\n' % _CHUNKED
_ONE_CHUNK = EndlessForm(b'x', _CHUNKED, b'%x\r\n' % _HUGE_BYTES)
_SMALL_CHUNKS = EndlessForm(_encode_chunk(b'x'), _CHUNKED)
_LARGE_CHUNKS = EndlessForm(_encode_chunk(b'x' * _CHUNK_BYTES), _CHUNKED)
_HEADER_LINE = EndlessForm(b'x', prefix=b'X-Filler: ', has_complete_head=False)
_HEADER_LINES = EndlessForm(b'X-Filler: x\r\n', has_complete_head=False)
_HUGE_LENGTH = EndlessForm(b'x', _create_length_framing(_HUGE_BYTES))

#: Responses without end by name.
RESPONSE_FORMS: Mapping[str, EndlessForm] = types.MappingProxyType(
    {
        'header-line': _HEADER_LINE,
        'header-lines': _HEADER_LINES,
        'interim-heads': EndlessForm(
            b'HTTP/1.1 103 Early Hints\r\n\r\n', is_before_head=True
        ),
        'chunk-size-junk': EndlessForm(b'z', _CHUNKED),
        'chunk-size-zeros': EndlessForm(b'0', _CHUNKED),
        'chunk-extension': EndlessForm(b'x', _CHUNKED, b'1;x='),
        'trailers': EndlessForm(
            b'X-Filler: x\r\n', _CHUNKED, b'1\r\nx\r\n0\r\n'
        ),
        'one-chunk': _ONE_CHUNK,
        'one-chunk-of-line-ends': dataclasses.replace(
            _ONE_CHUNK, unit=_LINE_END
        ),
        'chunks-of-1-byte': _SMALL_CHUNKS,
        'chunks-of-4-kb': _LARGE_CHUNKS,
        'whole-events': EndlessForm(
            _encode_chunk(b'data: x\n\n'), _EVENT_FRAMING
        ),
        'event-pieces': EndlessForm(
            _encode_chunk(b'x') + _encode_chunk(b'xy'),
            _EVENT_FRAMING,
            _encode_chunk(b'data: '),
        ),
        'huge-length': _HUGE_LENGTH,
        'told-length': EndlessForm(b'x', _create_length_framing(_TOLD_BYTES)),
        'told-length-slow': EndlessForm(
            b'x' * _KILOBYTE,
            _create_length_framing(_TOLD_BYTES),
            pause_s=_STEADY_PAUSE_S,
        ),
        'no-length': EndlessForm(b'x', b'Connection: close\r\n'),
        'slow-chunks': EndlessForm(
            _encode_chunk(b'xyz'), _CHUNKED, pause_s=_STEADY_PAUSE_S
        ),
    }
)

#: Requests without end by name.
REQUEST_FORMS: Mapping[str, EndlessForm] = types.MappingProxyType(
    {
        'header-line': _HEADER_LINE,
        'header-lines': _HEADER_LINES,
        'chunks-of-1-byte': _SMALL_CHUNKS,
        'chunks-of-4-kb': _LARGE_CHUNKS,
        'one-chunk': _ONE_CHUNK,
        'huge-length': _HUGE_LENGTH,
        'pipelined': EndlessForm(
            b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', is_before_head=True
        ),
    }
)

#: Names of the kinds of datagrams.
DATAGRAM_FORMS = ('json-junk', 'random-bytes', 'oversize')


def create_datagrams(form: str, random_source: random.Random) -> list[bytes]:
    """Return some datagrams of a kind, to be sent over and over."""
    return [
        _create_datagram(form, random_source) for _ in range(_DATAGRAM_COUNT)
    ]


def _create_datagram(form: str, random_source: random.Random) -> bytes:
    if form == 'json-junk':
        return b'{"kind":"junk","b":[%d,[%s0]]}' % (
            random_source.getrandbits(32),
            b'0,' * random_source.randrange(400),
        )
    size = _OVERSIZE_BYTES if form == 'oversize' else _RANDOM_BYTES
    return random_source.randbytes(size)


class SharedLink:
    """Limits what all senders of a process send together."""

    def __init__(self, bytes_per_s: float = LINK_BYTES_PER_S) -> None:
        """Create an idle link."""
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def reserve(self, amount: int) -> None:
        """Wait until `amount` bytes may be sent."""
        now = time.monotonic()
        begins_at = max(now - _LINK_CREDIT_S, self._free_at)
        self._free_at = begins_at + amount / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)


class FormChoice:
    """The form of each connection: always one, or a random one."""

    def __init__(
        self,
        forms: Mapping[str, EndlessForm],
        name: str,
        random_source: random.Random,
    ) -> None:
        """Initialise; the name `mixed` stands for a random form each time."""
        self._forms = forms
        self._name = name
        self._random = random_source

    def choose(self) -> EndlessForm:
        """Return the form of the next connection."""
        if self._name == MIXED:
            return self._forms[self._random.choice(sorted(self._forms))]
        return self._forms[self._name]


async def send_endlessly(
    form: EndlessForm,
    beginning: bytes,
    writer: asyncio.StreamWriter,
    link: SharedLink,
) -> None:
    """Send a message until the receiver closes; raise OSError then.

    What the receiver sends meanwhile is not read, except that its end is
    noticed.
    """
    writer.transport.set_write_buffer_limits(high=BLOCK_BYTES)
    for part in _list_parts(form, beginning):
        await link.reserve(len(part))
        writer.write(part)
        await writer.drain()
        if writer.transport.is_closing():
            raise ConnectionResetError
        if form.pause_s and part:
            await asyncio.sleep(form.pause_s)


def _list_parts(form: EndlessForm, beginning: bytes) -> Iterator[bytes]:
    yield beginning
    yield from itertools.repeat(form.block)
