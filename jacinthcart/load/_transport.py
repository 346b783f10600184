"""HTTP transport of the callers: records attempts and pins entries."""

import contextvars
import dataclasses
import json

import httpx

from jacinthcart.errors import (
    BodyMemoryError,
    BodyTooLargeError,
    InvalidMessageError,
)
from jacinthcart.load._models import EntryAddress
from jacinthcart.wire import BodyReader, decode_json

_ADDRESSES_PATH = '/v1/addresses'
_STATUS_OK = 200
#: Bytes of one response body.
_MAX_BODY_BYTES = 16 * 1024 * 1024
#: Bytes of all response bodies that are being received.
_MAX_HELD_BYTES = 64 * 1024 * 1024
#: The cost of a request in the connection pool grows with the square of
#: the idle connections; hundreds of them delayed the load generator itself.
_MAX_IDLE_CONNECTIONS = 16


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An entry's response to one attempt of a request."""

    #: IP address of the entry.
    address: str
    #: Refusal code; empty for an answer, `none` for an error status without
    #: a refusal.
    refusal: str


#: Attempts, in order, of the request that the current task sends.
current_attempts: contextvars.ContextVar[list[Attempt]] = (
    contextvars.ContextVar(
        'current_attempts',
    )
)


class RecordingTransport(httpx.AsyncBaseTransport):
    """Records every response, including those after which the caller retries.

    With a pinned entry, address responses list only that entry. Addresses in
    refusals are kept, so that requests fail over to other entries when the
    pinned one shuts down.
    """

    def __init__(self, pinned_entry: EntryAddress | None) -> None:
        """Create a transport without open connections."""
        self._pinned_entry = pinned_entry
        self._bodies = BodyReader(_MAX_BODY_BYTES, _MAX_HELD_BYTES)
        self._transport = httpx.AsyncHTTPTransport(
            retries=0,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=_MAX_IDLE_CONNECTIONS,
            ),
        )

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send the request without retries."""
        response = await self._transport.handle_async_request(request)
        body = await self._read_body(response)
        if request.url.path == _ADDRESSES_PATH:
            body = self._pin_addresses(body)
        else:
            refusal = _get_refusal_code(response.status_code, body)
            attempt = Attempt(request.url.host, refusal)
            current_attempts.get([]).append(attempt)
        return httpx.Response(response.status_code, content=body)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    async def _read_body(self, response: httpx.Response) -> bytes:
        try:
            if 'content-encoding' in response.headers:
                # It could expand a thousandfold beyond the limits.
                raise httpx.RemoteProtocolError('the body is compressed')
            return await self._bodies.read(
                response.aiter_bytes(), response.headers.get('content-length')
            )
        except (BodyTooLargeError, BodyMemoryError) as error:
            raise httpx.RemoteProtocolError(str(error)) from error
        finally:
            await response.aclose()

    def _pin_addresses(self, body: bytes) -> bytes:
        message = _decode_object(body)
        if self._pinned_entry is None or 'addresses' not in message:
            return body
        message['addresses'] = [self._pinned_entry.model_dump(mode='json')]
        return json.dumps(message).encode()


def _get_refusal_code(status: int, body: bytes) -> str:
    if status == _STATUS_OK:
        return ''
    refusal = _decode_object(body).get('refusal')
    return str(refusal.get('code')) if isinstance(refusal, dict) else 'none'


def _decode_object(body: bytes) -> dict[str, object]:
    try:
        message = decode_json(body)
    except InvalidMessageError:
        return {}
    return message if isinstance(message, dict) else {}
