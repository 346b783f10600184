"""Requests and responses of callers, and who answers them."""

import abc
import dataclasses
import http
import types
from urllib.parse import parse_qsl

from jacinthcart.catalogue import FrontLimits

_STATUS_NOT_RUN = 503
_PHRASE_BY_STATUS = types.MappingProxyType(
    {one.value: one.phrase for one in http.HTTPStatus},
)
#: Statuses of responses without a body. A length of 0 is not allowed with
#: 204 and says something else with 304 (RFC 9110, section 8.6).
_BODYLESS_STATUSES = frozenset((204, 304))


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A complete request as received."""

    method: str
    #: Path and query string.
    target: bytes
    #: Headers in order, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]
    #: Complete body.
    body: bytes
    #: Time in seconds at which the request was complete.
    received_at: float
    #: Whether the client keeps the connection open for further requests.
    is_keep_alive: bool
    #: Bytes that are held for the request until it is answered.
    held_bytes: int = 0

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self._split_target()[0]

    @property
    def query(self) -> dict[str, str]:
        """The query parameters; the last value of a name wins."""
        return dict(parse_qsl(self._split_target()[2]))

    def _split_target(self) -> tuple[str, str, str]:
        return self.target.decode('latin-1').partition('?')


@dataclasses.dataclass(frozen=True)
class RawResponse:
    """A response to be written."""

    status: int
    #: Headers, without `Connection`, and without `Content-Length` unless this
    #: is the response to a HEAD request.
    headers: tuple[tuple[bytes, bytes], ...] = ()
    #: Complete body.
    body: bytes = b''


class BaseRequestHandler(abc.ABC):
    """Answers complete requests."""

    @abc.abstractmethod
    async def handle(self, request: RawRequest) -> RawResponse:
        """Return the response; cancelled if the client disconnects."""

    @abc.abstractmethod
    def get_limits(self) -> FrontLimits:
        """Return the limits in force."""

    def create_memory_refusal(self) -> RawResponse:
        """Return the refusal of a request that there is no memory to read."""
        return RawResponse(_STATUS_NOT_RUN)


def encode_response(
    response: RawResponse,
    *,
    keep_alive: bool,
    has_body: bool = True,
) -> bytes:
    """Return the response in wire form, with the length of its body.

    Without `has_body` it is the response to a HEAD request. Its length would
    have to be that of the response to GET, which only the handler may know.
    """
    has_body = has_body and response.status not in _BODYLESS_STATUSES
    phrase = _PHRASE_BY_STATUS.get(response.status, 'Status')
    lines = [f'HTTP/1.1 {response.status} {phrase}\r\n'.encode()]
    for name, content in response.headers:
        lines.append(b'%s: %s\r\n' % (name, content))
    if has_body:
        lines.append(b'Content-Length: %d\r\n' % len(response.body))
    if not keep_alive:
        lines.append(b'Connection: close\r\n')
    lines.append(b'\r\n')
    if has_body:
        lines.append(response.body)
    return b''.join(lines)
