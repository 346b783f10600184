"""Malformed responses, for stand-ins of servers in trouble."""

import dataclasses
import types
from collections.abc import Mapping

_LINE_END = b'\r\n'


@dataclasses.dataclass(frozen=True)
class Malformation:
    """A change that makes a well-formed response malformed."""

    #: Bytes in place of the status line, without its line end; empty to keep
    #: the status line.
    status_line: bytes = b''
    #: Bytes inserted after the status line.
    fields: bytes = b''
    #: Bytes before the status line, such as an interim response.
    interim: bytes = b''

    def apply(self, message: bytes) -> bytes:
        """Return the malformed form of a response in wire form."""
        status_line, _, rest = message.partition(_LINE_END)
        return b''.join(
            (
                self.interim,
                self.status_line or status_line,
                _LINE_END,
                self.fields,
                rest,
            )
        )


#: Status lines outside RFC 9112, section 4, or RFC 9110, section 15.
_STATUS_LINES = (
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 001 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 600 OK',
    b'HTTP/1.1 999 OK',
    b'HTTP/1.1 101 Switching Protocols',
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 2x0 OK',
    b'HTTP/1.1 +20 OK',
    b'HTTP/1.1 200',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1\t200 OK',
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\x01K',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/1.1 200 O\rK',
    b'HTTP/0.9 200 OK',
    b'HTTP/2.0 200 OK',
    b'HTTP/11 200 OK',
    b'http/1.1 200 OK',
    b' HTTP/1.1 200 OK',
    b'\r\nHTTP/1.1 200 OK',
    b'HTTP/1.1 200 OK\nx: y',
)
#: Field lines outside RFC 9112, section 5, or RFC 9110, section 5.
_FIELD_LINES = (
    b'na me: x\r\n',
    b'name : x\r\n',
    b'name\t: x\r\n',
    b'na\x00me: x\r\n',
    b'na\x01me: x\r\n',
    b'na\x1fme: x\r\n',
    b'na\x7fme: x\r\n',
    b'na\x80me: x\r\n',
    b'na"me: x\r\n',
    b'na(me: x\r\n',
    b'na/me: x\r\n',
    b'na\rme: x\r\n',
    b'content-length : 3\r\n',
    b'content -length: 3\r\n',
    b'transfer-encoding : chunked\r\n',
    b'transfer-encoding\x0b: chunked\r\n',
    b': x\r\n',
    b'name\r\n',
    b'name: x\x00y\r\n',
    b'name: x\x01y\r\n',
    b'name: x\x0by\r\n',
    b'name: x\x7fy\r\n',
    b'name: x\ry\r\n',
    b'name: x\r\n folded\r\n',
    b'name: x\r\n\tfolded\r\n',
    b' folded: x\r\n',
    b'name: x\n',
)
#: Fields whose framing is invalid beside a valid `Content-Length` of at least
#: 1 (RFC 9112, section 6).
_FRAMING_LINES = (
    b'content-length: 0\r\n',
    b'content-length: 1, 2\r\n',
    b'content-length: +1\r\n',
    b'content-length: -1\r\n',
    b'content-length: 0x1\r\n',
    b'content-length:\r\n',
    b'content-length: 99999999999999999999999999\r\n',
    b'transfer-encoding: chunked\r\n',
    b'transfer-encoding: gzip\r\n',
    b'transfer-encoding: chunked, chunked\r\n',
    b'transfer-encoding:\r\n',
)
#: Bytes that must not come before a response (RFC 9110, section 15.2, and
#: RFC 9112, section 6.3).
_INTERIM_RESPONSES = (
    b'HTTP/1.1 099 Early\r\n\r\n',
    b'HTTP/1.1 000 Early\r\ncontent-length: 0\r\n\r\n',
    b'HTTP/1.1 103 Early\r\nna me: x\r\n\r\n',
    b'HTTP/1.1 103 Early\r\nna\x01me: x\r\n\r\n',
    b'HTTP/1.1 103 Early\r\ncontent-length: 2\r\n\r\nok',
    b'HTTP/1.1 103 Early\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    b'HTTP/1.0 100 Continue\r\n\r\n',
    b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    b'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
    b'HTTP/1.1 204 No Content\r\ncontent-length: 2\r\n\r\nok',
    b'\r\n',
)


def _list_malformations() -> dict[str, Malformation]:
    malformations = [Malformation(status_line=one) for one in _STATUS_LINES]
    malformations.extend(Malformation(fields=one) for one in _FIELD_LINES)
    malformations.extend(Malformation(fields=one) for one in _FRAMING_LINES)
    malformations.extend(
        Malformation(interim=one) for one in _INTERIM_RESPONSES
    )
    return {
        repr(one.interim or one.status_line or one.fields): one
        for one in malformations
    }


#: Malformations by the bytes that they insert. They apply to a response with
#: a `Content-Length` of at least 1.
MALFORMATIONS_BY_NAME: Mapping[str, Malformation] = types.MappingProxyType(
    _list_malformations()
)
