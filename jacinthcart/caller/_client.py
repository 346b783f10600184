"""HTTP client for single attempts; it never resends a request."""

import dataclasses
from typing import Any
from urllib.parse import quote

import anyio
import httpx
import pydantic

from jacinthcart.caller._answers import (
    ADDRESS_LIST_ADAPTER,
    ADDRESSES_ADAPTER,
    ANSWER_ADAPTER,
    Address,
    AddressList,
    Answer,
)
from jacinthcart.caller._errors import (
    CallerError,
    InvalidAnswerError,
    OutcomeLostError,
    RefusedError,
    UnreachableError,
)
from jacinthcart.errors import (
    BodyMemoryError,
    BodyTooLargeError,
    InvalidMessageError,
    Ran,
    RefusalCode,
)
from jacinthcart.program import Clock
from jacinthcart.wire import BodyReader, decode_json, encode_json

_STATUS_OK = 200
#: Statuses of refusals. The HTTP library accepts larger ones.
_REFUSAL_STATUSES = range(400, 600)
_MS_PER_S = 1000
_CONNECT_TIMEOUT_S = 1
_ADDRESSES_TIMEOUT_S = 1
#: Extra time to wait for an answer that was sent at the deadline.
_ANSWER_MARGIN_S = 0.1
#: Bytes of one response body.
_MAX_BODY_BYTES = 16 * 1024 * 1024
#: Bytes of all response bodies that are being received.
_MAX_HELD_BYTES = 64 * 1024 * 1024
#: A compressed body could expand a thousandfold beyond the limits.
_PLAIN_ENCODING = 'identity'
_BODY_ERRORS = (BodyTooLargeError, BodyMemoryError)
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request, identical in every attempt."""

    #: Route id, `<team>/<name>`.
    route: str
    #: Id of the request.
    request_id: str
    #: Query, sent unchanged.
    query: dict[str, Any]
    #: Workspace that the key must belong to, None to accept any.
    workspace: str | None
    #: Deadline of all attempts, in seconds on the caller's clock.
    deadline: float


class EntryClient:
    """Sends requests to the entry of a given VM."""

    def __init__(
        self,
        key: str | None,
        clock: Clock,
        transport: httpx.AsyncBaseTransport | None,
    ) -> None:
        """Create the HTTP client; `transport` replaces the network."""
        self._clock = clock
        self._bodies = BodyReader(_MAX_BODY_BYTES, _MAX_HELD_BYTES)
        headers = {'accept-encoding': _PLAIN_ENCODING}
        if key:
            headers['authorization'] = f'Bearer {key}'
        self._client = httpx.AsyncClient(
            headers=headers,
            trust_env=False,
            follow_redirects=False,
            transport=transport
            or httpx.AsyncHTTPTransport(
                retries=0,
                trust_env=False,
                limits=httpx.Limits(max_connections=None),
            ),
        )

    async def send(self, address: Address, request: CallerRequest) -> Answer:
        """Send the request once; raise CallerError."""
        remaining_s = request.deadline - self._clock()
        body = encode_json(
            {
                'request_id': request.request_id,
                'deadline_ms': max(1, int(remaining_s * _MS_PER_S)),
                'workspace': request.workspace,
                'query': request.query,
            },
        )
        team, _, route = request.route.partition('/')
        path = f'/v1/teams/{_quote(team)}/routes/{_quote(route)}'
        status, response_body = await self._post(
            address.base_url + path,
            body,
            remaining_s,
        )
        message = _decode_object(response_body)
        _check_request_id(message, request.request_id)
        if status in _REFUSAL_STATUSES:
            raise _decode_refusal(message)
        if status != _STATUS_OK:
            raise InvalidAnswerError(f'status {status}')
        try:
            return ANSWER_ADAPTER.validate_python(message)
        except pydantic.ValidationError as error:
            raise InvalidAnswerError('the answer is malformed') from error

    async def fetch_addresses(
        self,
        address: Address,
        workspace: str | None,
    ) -> AddressList:
        """Return usable VMs; raise UnreachableError."""
        query = {'workspace': workspace} if workspace else {}
        try:
            with anyio.fail_after(_ADDRESSES_TIMEOUT_S):
                async with self._client.stream(
                    'GET',
                    f'{address.base_url}/v1/addresses',
                    params=query,
                    timeout=None,
                ) as response:
                    body = await self._read_body(response)
        except (
            httpx.TransportError,
            TimeoutError,
            InvalidAnswerError,
        ) as error:
            raise UnreachableError(
                f'{address}: address request failed'
            ) from error
        try:
            return ADDRESS_LIST_ADAPTER.validate_json(body)
        except pydantic.ValidationError as error:
            raise UnreachableError(
                f'{address}: address list is malformed'
            ) from error

    async def close(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    async def _post(
        self,
        url: str,
        body: bytes,
        remaining_s: float,
    ) -> tuple[int, bytes]:
        connect_s = min(remaining_s, _CONNECT_TIMEOUT_S)
        try:
            # The connect timeout is shorter than this one, so that a slow
            # connect counts as not sent.
            with anyio.fail_after(remaining_s + _ANSWER_MARGIN_S):
                async with self._client.stream(
                    'POST',
                    url,
                    content=body,
                    headers={'content-type': 'application/json'},
                    timeout=httpx.Timeout(
                        None,
                        connect=connect_s,
                        pool=connect_s,
                    ),
                ) as response:
                    body = await self._read_body(response)
                    return response.status_code, body
        except _NOT_SENT_ERRORS as error:
            raise UnreachableError(
                f'request was not sent: {error!r}'
            ) from error
        except (httpx.TransportError, TimeoutError) as error:
            raise OutcomeLostError(
                f'no answer to the sent request: {error!r}'
            ) from error

    async def _read_body(self, response: httpx.Response) -> bytes:
        headers = response.headers
        if headers.get('content-encoding', _PLAIN_ENCODING) != _PLAIN_ENCODING:
            raise InvalidAnswerError('the answer is compressed')
        try:
            return await self._bodies.read(
                response.aiter_bytes(), headers.get('content-length')
            )
        except _BODY_ERRORS as error:
            raise InvalidAnswerError(str(error)) from error


def _quote(segment: str) -> str:
    return quote(segment, safe='')


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        message = decode_json(body)
    except InvalidMessageError as error:
        raise InvalidAnswerError(str(error)) from error
    if not isinstance(message, dict):
        raise InvalidAnswerError('the answer is malformed')
    return message


def _check_request_id(message: dict[str, Any], request_id: str) -> None:
    # A refusal sent before the body was read has no request id.
    answered_id = message.get('request_id')
    is_early_refusal = 'refusal' in message and answered_id is None
    if answered_id != request_id and not is_early_refusal:
        raise InvalidAnswerError('the answer belongs to another request')


def _decode_refusal(message: dict[str, Any]) -> CallerError:
    try:
        refusal = message['refusal']
        return RefusedError(
            RefusalCode(refusal['code']),
            Ran(refusal['ran']),
            str(refusal['detail']),
            refusal['retry_after_ms'],
            ADDRESSES_ADAPTER.validate_python(refusal['try_addresses']),
        )
    except (LookupError, TypeError, ValueError):
        return InvalidAnswerError('the refusal is malformed')
