"""HTTP routes of the gather program."""

from collections.abc import Awaitable, Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.gather._service import GatherService
from jacinthcart.telemetry import Logger
from jacinthcart.wire import encode_json

_REFUSAL_STATUS = 409

_Handler = Callable[[bytes], Awaitable[dict[str, Any]]]


def create_application(service: GatherService, logger: Logger) -> Starlette:
    """Return the ASGI application of the gather program."""

    async def answer_query(request: Request) -> Response:
        return await _answer(service, logger, service.run_query, request)

    async def answer_subquery(request: Request) -> Response:
        return await _answer(service, logger, service.run_subquery, request)

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
    request: Request,
) -> Response:
    body = await request.body()
    try:
        return _respond(service, await run(body))
    except RefusalError as error:
        refusal = error
    except Exception as error:
        # The request may have reached a searcher before the exception.
        logger.error('request_failed', path=request.url.path, error=repr(error))
        refusal = RefusalError(RefusalCode.INTERNAL, Ran.UNKNOWN)
    service.count_refusal(refusal)
    return _respond(service, encode_refusal(refusal), _REFUSAL_STATUS)


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
