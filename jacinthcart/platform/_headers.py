"""Translates HTTP headers and statuses of callers and searchers."""

import math
import types

from jacinthcart.errors import (
    InvalidMessageError,
    Ran,
    RefusalCode,
    RefusalError,
)
from jacinthcart.front import RawRequest, RawResponse
from jacinthcart.routing import (
    BaseSearcherCodec,
    CallerRequest,
    LoadReport,
    ResponseHead,
    SearcherResponse,
)
from jacinthcart.serving import MergedAnswer, ServedAnswer

_MS_PER_S = 1000
_PERCENT = 100
_REQUEST_ID = b'x-jacinthcart-request-id'
_DEADLINE = b'x-jacinthcart-deadline-ms'
_CREDENTIAL = b'x-jacinthcart-credential'
_TENANT = b'x-jacinthcart-tenant'
_EXPECTED = b'x-jacinthcart-expected-instance'
_STAMP = b'x-jacinthcart-server-stamp'
_PART_STAMPS = b'X-Jacinthcart-Part-Stamps'
_MISSING_PARTS = b'X-Jacinthcart-Missing-Parts'
_NOT_EXECUTED = b'x-jacinthcart-not-executed'
_LOAD = b'x-jacinthcart-server-load'
#: The platform names this header without the prefix that its other headers
#: have, so it is accepted in both forms.
_LEAVING_NAMES = (b'server-leaving', b'x-jacinthcart-server-leaving')
_RETRY_AFTER = b'retry-after'
_CONTENT_LENGTH = b'content-length'
_STATUS_NO_CONTENT = 204
_STATUS_MISDIRECTED = 421
#: Statuses that promise callers that the request has not run. In a response
#: of a searcher, 421 alone states this without `_NOT_EXECUTED`.
_NOT_RUN_STATUSES = frozenset((408, _STATUS_MISDIRECTED, 429, 503))
_DEFAULT_DEADLINE_S = 30.0
#: Figures of the load that a report must have: running requests, queued
#: requests and slots.
_REQUIRED_LOAD_FIGURES = 3
_LOAD_SEPARATOR = b','
#: Largest usable figure of a load: a number of requests or slots, or a
#: slowdown in percent.
_MAX_LOAD_FIGURE = 1_000_000
#: Longer figures are not converted: this could raise ValueError, and a float
#: can't hold the result.
_MAX_LOAD_DIGITS = 7
#: Hop-by-hop headers, which are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'http2-settings',
        _CONTENT_LENGTH,
        b'expect',
    ),
)
#: Headers that this VM sets itself, so those of callers are dropped.
_OWN_HEADERS = frozenset((_DEADLINE, _CREDENTIAL, _TENANT, _EXPECTED))
#: Headers that a request may have only once.
_SINGLE_HEADERS = frozenset((b'host', _REQUEST_ID, _CREDENTIAL))
_STATUS_BY_CODE = types.MappingProxyType(
    {
        RefusalCode.INVALID_REQUEST: 400,
        RefusalCode.KEY_MISSING: 401,
        RefusalCode.KEY_INVALID: 401,
        RefusalCode.UNKNOWN_ROUTE: 404,
        RefusalCode.OVER_RATE: 429,
        RefusalCode.BACKEND_FAILED: 502,
    }
)
#: Statuses of refusals with other codes.
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 504


def decode_request(raw: RawRequest) -> CallerRequest:
    """Decode a caller's request; raise InvalidMessageError."""
    first_by_name = _collect_headers(raw)
    try:
        return _decode_request(raw, first_by_name)
    except (ValueError, KeyError) as error:
        raise InvalidMessageError(f'malformed request: {error!r}') from error


def _collect_headers(raw: RawRequest) -> dict[bytes, bytes]:
    first_by_name: dict[bytes, bytes] = {}
    for name, content in raw.headers:
        if name in first_by_name and name in _SINGLE_HEADERS:
            raise InvalidMessageError(f'more than one {name.decode()}')
        first_by_name.setdefault(name, content)
    return first_by_name


def _decode_request(
    raw: RawRequest,
    first_by_name: dict[bytes, bytes],
) -> CallerRequest:
    target = raw.target.decode('ascii')
    key = first_by_name.get(_CREDENTIAL)
    dropped = _HOP_BY_HOP_HEADERS | _OWN_HEADERS | _parse_connection_names(raw)
    return CallerRequest(
        request_id=first_by_name[_REQUEST_ID].decode('ascii'),
        method=raw.method,
        target=target,
        host=first_by_name[b'host'].decode('ascii').partition(':')[0].lower(),
        path=target.partition('?')[0],
        headers=tuple(one for one in raw.headers if one[0] not in dropped),
        body=raw.body,
        credential=None if key is None else key.decode('ascii'),
        received_at=raw.received_at,
        deadline=raw.received_at
        + _decode_deadline_s(first_by_name.get(_DEADLINE)),
    )


def _parse_connection_names(raw: RawRequest) -> set[bytes]:
    return {
        token.strip().lower()
        for name, content in raw.headers
        if name == b'connection'
        for token in content.split(b',')
    }


def _decode_deadline_s(content: bytes | None) -> float:
    if content is None:
        return _DEFAULT_DEADLINE_S
    limit_s = float(content) / _MS_PER_S
    if not math.isfinite(limit_s):
        raise InvalidMessageError('the deadline is not a finite number')
    return max(0, limit_s)


def encode_answer(
    request: CallerRequest,
    answer: ServedAnswer | MergedAnswer,
) -> RawResponse:
    """Encode the answer to a served request."""
    if isinstance(answer, ServedAnswer):
        head = answer.response.head
        dropped = set(_HOP_BY_HOP_HEADERS)
        if request.method == 'HEAD' and head.status != _STATUS_NO_CONTENT:
            dropped.remove(_CONTENT_LENGTH)
        headers = tuple(one for one in head.headers if one[0] not in dropped)
        return RawResponse(head.status, headers, answer.response.body)
    return RawResponse(
        200,
        (
            (b'X-Jacinthcart-Request-Id', request.request_id.encode()),
            (_PART_STAMPS, ', '.join(answer.stamps).encode()),
            (_MISSING_PARTS, str(answer.missing).encode()),
        ),
        answer.body,
    )


def encode_refusal(refusal: RefusalError) -> RawResponse:
    """Encode the refusal of a request.

    A status which promises that the request has not run is used only if
    this is known.
    """
    status = _STATUS_BY_CODE.get(refusal.code)
    if status is None:
        is_not_run = refusal.ran is Ran.NOT_RUN
        status = _STATUS_NOT_RUN if is_not_run else _STATUS_UNKNOWN
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if refusal.retry_after_ms is not None:
        seconds = f'{refusal.retry_after_ms / _MS_PER_S:.3f}'
        headers = ((b'Retry-After', seconds.encode()),)
    return RawResponse(status, headers)


class PlatformSearcherCodec(BaseSearcherCodec):
    """Encodes requests to the platform's searchers and decodes responses."""

    def encode_request(
        self,
        request: CallerRequest,
        searcher_id: str,
        remaining_s: float,
        workspace: str | None,
    ) -> bytes:
        """Return the wire form of a request to one searcher."""
        lines = [f'{request.method} {request.target} HTTP/1.1\r\n'.encode()]
        for name, content in request.headers:
            lines.append(b'%s: %s\r\n' % (name, content))
        remaining_ms = max(1, int(remaining_s * _MS_PER_S))
        lines.append(b'%s: %d\r\n' % (_DEADLINE, remaining_ms))
        lines.append(b'%s: %s\r\n' % (_EXPECTED, searcher_id.encode()))
        if workspace is not None:
            lines.append(b'%s: %s\r\n' % (_TENANT, workspace.encode()))
        if request.body or request.method in {'POST', 'PUT', 'PATCH'}:
            lines.append(b'content-length: %d\r\n' % len(request.body))
        lines.append(b'\r\n')
        lines.append(request.body)
        return b''.join(lines)

    def find_request_id(self, head: ResponseHead) -> str | None:
        """Return the request id that the searcher echoes."""
        return _decode_single(head, _REQUEST_ID)

    def decode_response(
        self,
        head: ResponseHead,
        body: bytes,
    ) -> SearcherResponse:
        """Return the response with its decoded headers."""
        by_name = dict(head.headers)
        load, has_malformed_load = _decode_load(by_name.get(_LOAD))
        is_misdirected = head.status == _STATUS_MISDIRECTED
        connection = by_name.get(b'connection', b'').lower()
        return SearcherResponse(
            head=head,
            body=body,
            stamp=_decode_single(head, _STAMP),
            is_not_run=_NOT_EXECUTED in by_name or is_misdirected,
            load=load,
            idle_timeout_s=_decode_timeout_s(by_name.get(b'keep-alive')),
            closes_connection=b'close' in connection,
            is_leaving=any(
                by_name.get(name, b'').strip() == b'1'
                for name in _LEAVING_NAMES
            ),
            retry_after_s=_decode_retry_after_s(head.status, by_name),
            has_malformed_load=has_malformed_load,
            has_not_run_status=head.status in _NOT_RUN_STATUSES,
        )


def _decode_single(head: ResponseHead, wanted_name: bytes) -> str | None:
    """Return the content of a header that must not be repeated.

    Return None if it is missing, empty or repeated: nothing tells which of
    several fields is meant.
    """
    contents = [
        content for name, content in head.headers if name == wanted_name
    ]
    if len(contents) != 1 or not contents[0]:
        return None
    return contents[0].decode('latin-1')


def _decode_load(content: bytes | None) -> tuple[LoadReport | None, bool]:
    """Return the load, and whether any of its known figures is malformed.

    The load is only a hint: without three usable figures there is none, and
    a malformed slowdown leaves the other figures in force. Figures beyond the
    known ones are ignored.
    """
    if content is None:
        return None, False
    figures = content.split(_LOAD_SEPARATOR, _REQUIRED_LOAD_FIGURES + 1)
    if len(figures) < _REQUIRED_LOAD_FIGURES:
        return None, True
    running, waiting, slots = map(
        _decode_load_figure, figures[:_REQUIRED_LOAD_FIGURES]
    )
    if running is None or waiting is None or slots is None:
        return None, True
    if len(figures) == _REQUIRED_LOAD_FIGURES:
        return LoadReport(running, waiting, slots), False
    percent = _decode_load_figure(figures[_REQUIRED_LOAD_FIGURES])
    if not percent:
        return LoadReport(running, waiting, slots), True
    slowdown = percent / _PERCENT
    return LoadReport(running, waiting, slots, slowdown), False


def _decode_load_figure(content: bytes) -> int | None:
    digits = content.strip()
    if len(digits) > _MAX_LOAD_DIGITS or not digits.isdigit():
        return None
    number = int(digits)
    return number if number <= _MAX_LOAD_FIGURE else None


def _decode_retry_after_s(
    status: int, by_name: dict[bytes, bytes]
) -> float | None:
    if status != _STATUS_NOT_RUN or _RETRY_AFTER not in by_name:
        return None
    try:
        seconds = float(by_name[_RETRY_AFTER])
    except ValueError:
        # The platform sends seconds; without them there is no delay to keep.
        return None
    return seconds if seconds > 0 else None


def _decode_timeout_s(content: bytes | None) -> float | None:
    if content is None:
        return None
    for token in content.split(b','):
        name, _, amount = token.strip().partition(b'=')
        if name.lower() == b'timeout' and amount.isdigit():
            return float(amount)
    return None
