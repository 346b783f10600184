"""Messages with callers and with gather, validated at the border."""

import dataclasses
import re
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Annotated, Any

import pydantic

from jacinthcart.entry._gather_messages import GatherAnswerMessage
from jacinthcart.errors import (
    InvalidMessageError,
    RefusalCode,
    RefusalError,
)
from jacinthcart.wire import decode_json

#: Searcher messages nest the query; the JSON codec bounds their depth.
MAX_QUERY_DEPTH = 64
_MAX_DETAIL_LENGTH = 300
_MAX_REQUEST_ID_LENGTH = 200
_SUBMIT_ID = re.compile(
    r'([a-z0-9][a-z0-9_-]*)\.[A-Za-z0-9_-]+\.[0-9]+\.[A-Za-z0-9_-]+',
)
_STATUS_UNAVAILABLE = 503
_STATUS_BY_CODE: Mapping[RefusalCode, int] = MappingProxyType(
    {
        RefusalCode.INVALID_REQUEST: 400,
        RefusalCode.DEADLINE_PASSED: 400,
        RefusalCode.KEY_MISSING: 401,
        RefusalCode.KEY_INVALID: 401,
        RefusalCode.WORKSPACE_MISMATCH: 403,
        RefusalCode.UNKNOWN_ROUTE: 404,
        RefusalCode.DUPLICATE: 409,
        RefusalCode.EXPIRED_REQUEST_ID: 409,
        RefusalCode.BODY_TOO_LARGE: 413,
        RefusalCode.OVER_RATE: 429,
        RefusalCode.INTERNAL: 500,
    },
)


class QueryMessage(pydantic.BaseModel):
    """Body of a caller's request; unknown fields are errors."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        strict=True,
        hide_input_in_errors=True,
    )

    request_id: (
        Annotated[
            str,
            pydantic.Field(
                pattern='^[A-Za-z0-9][A-Za-z0-9._:-]*$',
                max_length=_MAX_REQUEST_ID_LENGTH,
            ),
        ]
        | None
    ) = None
    deadline_ms: Annotated[int, pydantic.Field(ge=1)] | None = None
    workspace: Annotated[str, pydantic.Field(max_length=129)] | None = None
    query: dict[str, Any]


@dataclasses.dataclass
class Exchange:
    """What is known so far about one request; filled while it is handled."""

    #: Route id, `<team>/<name>`.
    route_id: str
    #: Arrival in seconds on the feed's clock.
    arrived_at: float
    #: Id from the caller or made by the entry.
    request_id: str | None = None
    #: Workspace that the request runs for.
    workspace_id: str | None = None
    #: Class of the route.
    request_class: str | None = None


def parse_query_message(body: bytes) -> QueryMessage:
    """Validate a request body; raise RefusalError INVALID_REQUEST."""
    try:
        message = QueryMessage.model_validate(decode_json(body))
    except InvalidMessageError as error:
        raise _refuse_invalid(str(error)) from error
    except pydantic.ValidationError as error:
        raise _refuse_invalid(_describe(error)) from error
    if _is_deep(message.query, body):
        raise _refuse_invalid(f'query is nested over {MAX_QUERY_DEPTH} levels')
    return message


def find_home_vm(request_id: str) -> str:
    """Return the VM named in a non-idempotent request's id.

    Raise RefusalError INVALID_REQUEST for an id of another form.
    """
    match = _SUBMIT_ID.fullmatch(request_id)
    if match is None:
        raise _refuse_invalid(
            'request_id: not <request_id_prefix>.<random>',
        )
    return match.group(1)


def find_status(code: RefusalCode) -> int:
    """Return the HTTP status of a refusal."""
    return _STATUS_BY_CODE.get(code, _STATUS_UNAVAILABLE)


def encode_refusal(
    refusal: RefusalError,
    exchange: Exchange | None,
    try_addresses: Sequence[Mapping[str, Any]],
) -> dict[str, Any]:
    """Return the message that tells a caller about a refusal."""
    return {
        'refusal': {
            'code': refusal.code,
            'ran': refusal.ran,
            'detail': refusal.detail,
            'retry_after_ms': refusal.retry_after_ms,
            'try_addresses': list(try_addresses),
        },
        'request_id': exchange.request_id if exchange else None,
        'workspace': exchange.workspace_id if exchange else None,
    }


def encode_answer(
    answer: GatherAnswerMessage,
    exchange: Exchange,
) -> dict[str, Any]:
    """Return the message that answers a caller's request."""
    return {
        'request_id': exchange.request_id,
        'workspace': exchange.workspace_id,
        'snapshot': answer.snapshot.model_dump(),
        'coverage': {
            **answer.coverage.model_dump(),
            'complete': answer.coverage.is_complete,
        },
        'hits': answer.hits,
    }


def _refuse_invalid(detail: str) -> RefusalError:
    return RefusalError(RefusalCode.INVALID_REQUEST, detail=detail)


def _describe(error: pydantic.ValidationError) -> str:
    """Name fields and rules, never the caller's input."""
    details = error.errors(include_input=False, include_url=False)
    return '; '.join(
        '{0}: {1}'.format(
            '.'.join(str(step) for step in detail['loc']) or 'body',
            detail['msg'],
        )
        for detail in details
    )[:_MAX_DETAIL_LENGTH]


def _is_deep(query: Any, body: bytes) -> bool:
    # Fewer brackets than levels cannot nest that deep, so that most
    # queries are not walked.
    if body.count(b'{') + body.count(b'[') <= MAX_QUERY_DEPTH:
        return False
    level = [query]
    for _ in range(MAX_QUERY_DEPTH):
        level = [child for node in level for child in _list_children(node)]
        if not level:
            return False
    return True


def _list_children(node: Any) -> list[Any]:
    if isinstance(node, dict):
        return list(node.values())
    return node if isinstance(node, list) else []
