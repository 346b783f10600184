"""Parsing of the heads of HTTP/1.1 responses (RFC 9112 and RFC 9110).

HTTP libraries accept heads that these standards don't allow, each library
others. All clients of this project parse heads here first, so that the same
heads are malformed wherever a response is read.
"""

import dataclasses
import enum
import re

from jacinthcart.errors import MalformedResponseError

#: Limits of a head. A server in trouble may send without end.
_MAX_HEAD_BYTES = 65536
_MAX_HEADERS = 512
#: Interim responses before one response.
_MAX_INTERIM_RESPONSES = 32
_LINE_END = b'\r\n'
#: RFC 9112, section 4, with the statuses of RFC 9110, section 15.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2}) [\t\x20-\x7e\x80-\xff]*',
)
#: RFC 9112, section 5. There is no line folding, and no white space before the
#: colon.
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)",
)
_VERSION_START = b'HTTP/1.'
#: Bytes that a line without its line end can't contain.
_FORBIDDEN_BYTES = re.compile(rb'[\x00-\x08\x0a-\x0c\x0e-\x1f\x7f]|\r(?!\Z)')
_WHITE_SPACE = b' \t'
#: Bytes of a malformed line that an error message contains.
_MAX_SHOWN_BYTES = 100
#: Larger numbers are no lengths of a body.
_CONTENT_LENGTH = re.compile(rb'[0-9]{1,18}')
_CONTENT_LENGTH_NAME = b'content-length'
_TRANSFER_ENCODING_NAME = b'transfer-encoding'
_CONNECTION_NAME = b'connection'
_STATUS_SWITCHING = 101
_MIN_FINAL_STATUS = 200
#: Statuses of responses that end with their head.
_BODYLESS_STATUSES = frozenset((204, 304))
#: Final statuses whose responses must not have content (RFC 9110, sections
#: 15.3.5 and 15.3.6).
_CONTENT_FREE_STATUSES = frozenset((204, 205))


class BodyFraming(enum.Enum):
    """How the end of a body is found (RFC 9112, section 6.3)."""

    #: There is no body.
    NONE = enum.auto()
    #: After `content_length` bytes.
    LENGTH = enum.auto()
    #: After the last chunk.
    CHUNKED = enum.auto()
    #: At the end of the connection.
    CLOSE = enum.auto()


@dataclasses.dataclass(frozen=True)
class ParsedHead:
    """The head of a response."""

    #: HTTP status code, 100 to 599 but not 101.
    status: int
    #: Headers in order, names in lower case, without white space around the
    #: contents.
    headers: tuple[tuple[bytes, bytes], ...]
    framing: BodyFraming
    #: Length of the body in bytes; 0 unless `framing` is LENGTH.
    content_length: int
    #: Whether the connection may carry another response after this one.
    keeps_open: bool
    #: The head as received, with the empty line at its end.
    raw: bytes

    @property
    def is_interim(self) -> bool:
        """Return whether another response to the same request follows."""
        return self.status < _MIN_FINAL_STATUS


class ResponseHeadParser:
    """Parses the heads of the responses that arrive on a connection."""

    def __init__(self) -> None:
        """Create a parser that expects a status line."""
        self._pending = bytearray()
        self._status_line: re.Match[bytes] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._raw = bytearray()
        self._interim_responses = 0

    @property
    def is_started(self) -> bool:
        """Return whether a part of a response has arrived."""
        return bool(self._pending or self._raw or self._interim_responses)

    def feed(self, received: bytes) -> ParsedHead | None:
        """Parse bytes; return the head if they complete one.

        Interim responses are skipped. Bytes after the head are kept for
        `take_rest`. Raise MalformedResponseError as soon as the bytes can't
        be the start of a head.
        """
        self._pending += received
        head = self._parse_lines()
        while head is not None and head.is_interim:
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                raise MalformedResponseError('too many interim responses')
            head = self._parse_lines()
        if head is not None:
            self._interim_responses = 0
        return head

    def take_rest(self) -> bytes:
        """Remove and return the bytes after the head."""
        rest = bytes(self._pending)
        self._pending.clear()
        return rest

    def _parse_lines(self) -> ParsedHead | None:
        start = 0
        end = self._pending.find(_LINE_END)
        while end >= 0:
            line = bytes(self._pending[start:end])
            start = end + len(_LINE_END)
            if self._status_line is not None and not line:
                self._consume(start)
                return self._complete()
            self._parse_line(line)
            end = self._pending.find(_LINE_END, start)
        self._consume(start)
        self._check_partial_line()
        return None

    def _parse_line(self, line: bytes) -> None:
        if self._status_line is None:
            self._status_line = _match(_STATUS_LINE, line)
            return
        name, content = _match(_FIELD_LINE, line).groups()
        self._headers.append((name.lower(), content.strip(_WHITE_SPACE)))
        if len(self._headers) > _MAX_HEADERS:
            raise MalformedResponseError('too many headers')

    def _check_partial_line(self) -> None:
        partial = self._pending
        if self._status_line is None:
            length = len(_VERSION_START)
            if not _VERSION_START.startswith(partial[:length]):
                raise MalformedResponseError('no status line')
        if _FORBIDDEN_BYTES.search(partial):
            raise MalformedResponseError('control byte in the head')
        if len(self._raw) + len(partial) > _MAX_HEAD_BYTES:
            raise MalformedResponseError('head is too large')

    def _consume(self, length: int) -> None:
        self._raw += self._pending[:length]
        del self._pending[:length]
        if len(self._raw) > _MAX_HEAD_BYTES:
            raise MalformedResponseError('head is too large')

    def _complete(self) -> ParsedHead:
        assert self._status_line is not None
        head = _create_head(
            self._status_line, tuple(self._headers), bytes(self._raw)
        )
        self._status_line = None
        self._headers = []
        self._raw.clear()
        return head


def _match(pattern: re.Pattern[bytes], line: bytes) -> re.Match[bytes]:
    match = pattern.fullmatch(line)
    if match is None:
        shown = line[:_MAX_SHOWN_BYTES]
        raise MalformedResponseError(f'malformed line in the head: {shown!r}')
    return match


def _create_head(
    status_line: re.Match[bytes],
    headers: tuple[tuple[bytes, bytes], ...],
    raw: bytes,
) -> ParsedHead:
    """Return the head; raise MalformedResponseError."""
    is_old_version = status_line.group(1) == b'0'
    status = int(status_line.group(2))
    lengths = _list_contents(headers, _CONTENT_LENGTH_NAME)
    encodings = _list_contents(headers, _TRANSFER_ENCODING_NAME)
    content_length = _parse_content_length(lengths)
    _check_framing(encodings, lengths, is_old_version=is_old_version)
    has_content = bool(encodings or content_length)
    _check_status(
        status, has_content=has_content, is_old_version=is_old_version
    )
    framing = BodyFraming.CLOSE
    if status < _MIN_FINAL_STATUS or status in _BODYLESS_STATUSES:
        framing = BodyFraming.NONE
    elif encodings:
        framing = BodyFraming.CHUNKED
    elif lengths:
        framing = BodyFraming.LENGTH
    tokens = _list_tokens(_list_contents(headers, _CONNECTION_NAME))
    is_closed = is_old_version or b'close' in tokens
    return ParsedHead(
        status,
        headers,
        framing,
        content_length if framing is BodyFraming.LENGTH else 0,
        keeps_open=not is_closed and framing is not BodyFraming.CLOSE,
        raw=raw,
    )


def _list_contents(
    headers: tuple[tuple[bytes, bytes], ...], wanted_name: bytes
) -> list[bytes]:
    return [content for name, content in headers if name == wanted_name]


def _list_tokens(contents: list[bytes]) -> list[bytes]:
    tokens = b','.join(contents).lower().split(b',')
    return [token.strip(_WHITE_SPACE) for token in tokens]


def _parse_content_length(lengths: list[bytes]) -> int:
    if not lengths:
        return 0
    # Equal values may be taken for one, but need not be (RFC 9110, 8.6).
    if len(lengths) > 1 or not _CONTENT_LENGTH.fullmatch(lengths[0]):
        raise MalformedResponseError(f'invalid content length: {lengths!r}')
    return int(lengths[0])


def _check_framing(
    encodings: list[bytes], lengths: list[bytes], *, is_old_version: bool
) -> None:
    if not encodings:
        return
    if lengths or is_old_version:
        raise MalformedResponseError('transfer encoding is not allowed')
    # No other coding was asked for, so none may be used (RFC 9110, 10.1.4).
    if len(encodings) > 1 or encodings[0].lower() != b'chunked':
        raise MalformedResponseError(
            f'invalid transfer encoding: {encodings!r}'
        )


def _check_status(
    status: int, *, has_content: bool, is_old_version: bool
) -> None:
    is_interim = status < _MIN_FINAL_STATUS
    if status == _STATUS_SWITCHING:
        raise MalformedResponseError('switch of protocols was not asked for')
    if is_interim and is_old_version:
        raise MalformedResponseError('interim response in HTTP/1.0')
    if has_content and (is_interim or status in _CONTENT_FREE_STATUSES):
        raise MalformedResponseError(f'status {status} with content')
