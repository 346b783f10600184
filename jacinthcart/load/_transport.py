"""The callers' network: notes attempts and can keep one entry."""

import contextvars
import dataclasses
import json

import httpx

from jacinthcart.errors import InvalidMessageError
from jacinthcart.load._models import EntryAddress
from jacinthcart.wire import decode_json

_ADDRESSES_PATH = '/v1/addresses'
_OK = 200
#: The pool's work for each request grows with the square of the idle
#: connections; hundreds of them made the load tool itself late.
_KEPT_CONNECTIONS = 16


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One reply of an entry to a request."""

    #: IP address of the entry.
    address: str
    #: Code of the refusal, empty for an answer.
    refusal: str


#: Attempts of the request of this task, in order.
attempts_made: contextvars.ContextVar[list[Attempt]] = contextvars.ContextVar(
    'attempts_made',
)


class RecordingTransport(httpx.AsyncBaseTransport):
    """Notes every reply, also those that the reference caller hides.

    With a pinned entry, addresses answers name only that entry. Addresses in
    refusals stay, so that its requests move on when it leaves.
    """

    def __init__(self, pinned_entry: EntryAddress | None) -> None:
        """Open no connection yet."""
        self._pinned_entry = pinned_entry
        self._transport = httpx.AsyncHTTPTransport(
            retries=0,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=_KEPT_CONNECTIONS,
            ),
        )

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send the request once."""
        response = await self._transport.handle_async_request(request)
        body = await response.aread()
        if request.url.path == _ADDRESSES_PATH:
            body = self._pin(body)
        else:
            refusal = _find_refusal(response.status_code, body)
            attempt = Attempt(request.url.host, refusal)
            attempts_made.get([]).append(attempt)
        return httpx.Response(response.status_code, content=body)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._transport.aclose()

    def _pin(self, body: bytes) -> bytes:
        message = _decode_object(body)
        if self._pinned_entry is None or 'addresses' not in message:
            return body
        message['addresses'] = [self._pinned_entry.model_dump(mode='json')]
        return json.dumps(message).encode()


def _find_refusal(status: int, body: bytes) -> str:
    if status == _OK:
        return ''
    refusal = _decode_object(body).get('refusal')
    return str(refusal.get('code')) if isinstance(refusal, dict) else 'none'


def _decode_object(body: bytes) -> dict[str, object]:
    try:
        message = decode_json(body)
    except InvalidMessageError:
        return {}
    return message if isinstance(message, dict) else {}
