"""Parsing of the heads of HTTP/1.1 responses (RFC 9112 and RFC 9110).

HTTP libraries accept heads that these standards don't allow, each library
others. All clients of this project parse heads here first, so that the same
heads are malformed wherever a response is read.
"""

import dataclasses
import enum
import re

from jacinthcart.errors import MalformedResponseError, ResponseTooLargeError

#: Limits of a head. A server in trouble may send without end.
_MAX_HEAD_BYTES = 65536
_MAX_HEADERS = 512
#: Interim responses before one response.
_MAX_INTERIM_RESPONSES = 32
#: Bytes of memory of the objects of a header besides its text.
_HEADER_OBJECT_BYTES = 200
_LINE_END = b'\r\n'
_LINE_FEED = b'\n'
#: RFC 9112, section 4, with the statuses of RFC 9110, section 15.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2}) [\t\x20-\x7e\x80-\xff]*+\r\n',
)
#: RFC 9112, section 5. There is no line folding, and no white space before the
#: colon. Possessive quantifiers keep long lines from being searched in
#: quadratic time.
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]++):"
    rb'[\t ]*+([\t\x20-\x7e\x80-\xff]*+)\r\n',
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
    def held_bytes(self) -> int:
        """Return the bytes of memory that the head takes."""
        object_bytes = len(self.headers) * _HEADER_OBJECT_BYTES
        return 2 * len(self.raw) + object_bytes

    @property
    def is_interim(self) -> bool:
        """Return whether another response to the same request follows."""
        return self.status < _MIN_FINAL_STATUS


class ResponseHeadParser:
    """Parses the heads of the responses that arrive on a connection."""

    def __init__(self) -> None:
        """Create a parser that expects a status line."""
        self._pending = bytearray()
        #: Status of the head in progress; 0 before its status line.
        self._status = 0
        self._is_old_version = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._raw = bytearray()
        self._interim_responses = 0
        #: Bytes of an incomplete line that have been checked.
        self._checked_bytes = 0

    @property
    def is_started(self) -> bool:
        """Return whether a part of a response has arrived."""
        return bool(self._pending or self._raw or self._interim_responses)

    @property
    def held_bytes(self) -> int:
        """Return the bytes of memory that the head in progress takes."""
        pending_bytes = len(self._pending) + len(self._raw)
        return pending_bytes + len(self._headers) * _HEADER_OBJECT_BYTES

    def feed(self, received: bytes) -> ParsedHead | None:
        """Parse bytes; return the head if they complete one.

        Interim responses are skipped. Bytes after the head are kept for
        `take_rest`. Raise MalformedResponseError as soon as the bytes can't
        be the start of a head.
        """
        self._pending += received
        if self._checked_bytes and _LINE_FEED not in received:
            # Nothing but the end of a line that was checked before.
            self._check_line(self._pending)
            return None
        self._checked_bytes = 0
        head = self._parse_lines()
        while head is not None and head.is_interim:
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                raise ResponseTooLargeError('too many interim responses')
            head = self._parse_lines()
        if head is not None:
            self._interim_responses = 0
        return head

    def take_rest(self) -> bytes:
        """Remove and return the bytes after the head."""
        rest = bytes(self._pending)
        self._pending.clear()
        self._checked_bytes = 0
        return rest

    def _parse_lines(self) -> ParsedHead | None:
        """Parse all complete lines of one head."""
        start = self._parse_status_line()
        if self._status:
            start = self._parse_field_lines(start)
        is_complete = bool(self._status) and self._pending.startswith(
            _LINE_END, start
        )
        if is_complete:
            start += len(_LINE_END)
        self._raw += self._pending[:start]
        del self._pending[:start]
        if is_complete:
            return self._complete()
        self._check_incomplete_line()
        return None

    def _parse_status_line(self) -> int:
        """Return the end of the status line, 0 if there is none."""
        if self._status:
            return 0
        match = _STATUS_LINE.match(self._pending)
        if match is None:
            return 0
        self._is_old_version = match.group(1) == b'0'
        self._status = int(match.group(2))
        return match.end()

    def _parse_field_lines(self, start: int) -> int:
        """Return the end of the last complete and valid field line."""
        match = _FIELD_LINE.match(self._pending, start)
        while match is not None:
            name, content = match.groups()
            self._headers.append((name.lower(), content.rstrip(_WHITE_SPACE)))
            start = match.end()
            if len(self._headers) > _MAX_HEADERS:
                raise ResponseTooLargeError('too many headers')
            match = _FIELD_LINE.match(self._pending, start)
        return start

    def _check_incomplete_line(self) -> None:
        line, line_end, _ = self._pending.partition(_LINE_END)
        if line_end:
            raise _create_line_error(line)
        self._check_line(line)

    def _check_line(self, line: bytearray) -> None:
        """Check a line without its end, of which a part may be checked."""
        # A line end may have been cut after its first byte.
        start = max(0, self._checked_bytes - 1)
        if _FORBIDDEN_BYTES.search(line, start):
            raise _create_line_error(line)
        if not self._status:
            length = len(_VERSION_START)
            if not _VERSION_START.startswith(line[:length]):
                raise MalformedResponseError('no status line')
        self._check_size(len(self._raw) + len(line))
        self._checked_bytes = len(line)

    def _check_size(self, head_bytes: int) -> None:
        if head_bytes > _MAX_HEAD_BYTES:
            raise ResponseTooLargeError('head is too large')

    def _complete(self) -> ParsedHead:
        self._check_size(len(self._raw))
        head = _create_head(
            self._status,
            tuple(self._headers),
            is_old_version=self._is_old_version,
            raw=bytes(self._raw),
        )
        self._status = 0
        self._headers = []
        self._raw.clear()
        return head


def _create_line_error(line: bytearray) -> MalformedResponseError:
    shown = bytes(line[:_MAX_SHOWN_BYTES])
    return MalformedResponseError(f'malformed line in the head: {shown!r}')


def _create_head(
    status: int,
    headers: tuple[tuple[bytes, bytes], ...],
    *,
    is_old_version: bool,
    raw: bytes,
) -> ParsedHead:
    """Return the head; raise MalformedResponseError.

    `is_old_version` states that it is a head of HTTP/1.0.
    """
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
