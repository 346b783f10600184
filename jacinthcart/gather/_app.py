"""HTTP routes of the gather program."""

from collections.abc import Awaitable, Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from jacinthcart.errors import (
    BodyMemoryError,
    BodyTooLargeError,
    Ran,
    RefusalCode,
    RefusalError,
)
from jacinthcart.gather._service import GatherService
from jacinthcart.telemetry import Logger
from jacinthcart.wire import BodyReader, encode_json

_REFUSAL_STATUS = 409
_STATUS_TOO_LARGE = 413
#: Bytes of one request body. Routes accept bodies of up to 1 MiB, and short
#: forms of numbers take up to four times their bytes when encoded again.
_MAX_BODY_BYTES = 8 * 1024 * 1024
#: Bytes of all request bodies that are being received.
_MAX_HELD_BYTES = 64 * 1024 * 1024

_Handler = Callable[[bytes], Awaitable[dict[str, Any]]]


def create_application(service: GatherService, logger: Logger) -> Starlette:
    """Return the ASGI application of the gather program."""
    bodies = BodyReader(_MAX_BODY_BYTES, _MAX_HELD_BYTES)

    async def answer(run: _Handler, request: Request) -> Response:
        try:
            body = await _read(bodies, request)
        except RefusalError as refusal:
            return _refuse(service, refusal)
        return await _answer(service, logger, run, request.url.path, body)

    async def answer_query(request: Request) -> Response:
        return await answer(service.run_query, request)

    async def answer_subquery(request: Request) -> Response:
        return await answer(service.run_subquery, request)

    async def answer_prefix(_request: Request) -> Response:
        return _respond(service, service.create_prefix())

    async def answer_report(_request: Request) -> Response:
        return _respond(service, service.create_report())

    return Starlette(
        routes=[
            Route('/v1/queries', answer_query, methods=['POST']),
            Route('/v1/subqueries', answer_subquery, methods=['POST']),
            Route('/v1/request-id-prefix', answer_prefix),
            Route('/v1/report', answer_report),
        ],
    )


async def _answer(
    service: GatherService,
    logger: Logger,
    run: _Handler,
    path: str,
    body: bytes,
) -> Response:
    try:
        return _respond(service, await run(body))
    except RefusalError as error:
        refusal = error
    except Exception as error:
        # The request may have reached a searcher before the exception.
        logger.error('request_failed', path=path, error=repr(error))
        refusal = RefusalError(RefusalCode.INTERNAL, Ran.UNKNOWN)
    return _refuse(service, refusal)


async def _read(bodies: BodyReader, request: Request) -> bytes:
    try:
        return await bodies.read(
            request.stream(), request.headers.get('content-length')
        )
    except BodyTooLargeError as error:
        raise RefusalError(
            RefusalCode.BODY_TOO_LARGE, detail=str(error)
        ) from error
    except BodyMemoryError as error:
        raise RefusalError(RefusalCode.OVERLOADED, detail=str(error)) from error


def _refuse(service: GatherService, refusal: RefusalError) -> Response:
    service.count_refusal(refusal)
    is_too_large = refusal.code is RefusalCode.BODY_TOO_LARGE
    status = _STATUS_TOO_LARGE if is_too_large else _REFUSAL_STATUS
    return _respond(service, encode_refusal(refusal), status)


def encode_refusal(refusal: RefusalError) -> dict[str, Any]:
    """Return the JSON form of a refusal, as sent between programs."""
    return {
        'refusal': {
            'code': refusal.code,
            'ran': refusal.ran,
            'detail': refusal.detail,
            'retry_after_ms': refusal.retry_after_ms,
        },
    }


def _respond(
    service: GatherService,
    message: dict[str, Any],
    status: int = 200,
) -> Response:
    headers = {'connection': 'close'} if service.is_leaving else {}
    return Response(
        encode_json(message),
        status,
        headers,
        media_type='application/json',
    )
