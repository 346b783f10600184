"""HTTP interface of the emulated configuration service and VM list."""

from collections.abc import Awaitable, Callable
from typing import Any

import pydantic
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from jacinthcart.wire import encode_json
from jacinthcart_emulator._config_state import ConfigState
from jacinthcart_emulator._models import ConfigFault, ConfigPut

_UNAVAILABLE = 503
_BAD_REQUEST = 400
_Endpoint = Callable[[Request], Awaitable[Response]]


def create_config_app(state: ConfigState) -> Starlette:
    """Return an ASGI application that serves `state`."""

    async def watch(request: Request) -> Response:
        after = int(request.query_params.get('after', '0'))
        wait_s = float(request.query_params.get('wait_s', '0'))
        return _create_json_response(await state.watch(after, wait_s))

    async def list_vms(_request: Request) -> Response:
        return _create_json_response(
            {
                'vms': {
                    vm_id: {'state': vm_state}
                    for vm_id, vm_state in state.read_vms().items()
                },
            },
        )

    async def put(request: Request) -> Response:
        change = ConfigPut.model_validate_json(await request.body())
        return _create_json_response({'revision': state.put(change.values)})

    async def apply_fault(request: Request) -> Response:
        fault = ConfigFault.model_validate_json(await request.body())
        state.apply_fault(fault)
        return _create_json_response({})

    async def read_counts(_request: Request) -> Response:
        return _create_json_response({'calls': dict(state.calls_by_endpoint)})

    return Starlette(
        routes=[
            Route('/v1/watch', _wrap_read(state, 'watch', watch)),
            Route('/v1/vms', _wrap_read(state, 'vms', list_vms)),
            Route('/emulator/put', put, methods=['POST']),
            Route('/emulator/fault', apply_fault, methods=['POST']),
            Route('/emulator/counts', read_counts),
        ],
        exception_handlers={pydantic.ValidationError: _reject_invalid},
    )


def _wrap_read(
    state: ConfigState,
    name: str,
    endpoint: _Endpoint,
) -> _Endpoint:
    """Count the calls of `endpoint`; respond 503 while the service is down.

    The state is checked again after the call, because the service can go
    down while a watch waits.
    """

    async def read(request: Request) -> Response:
        state.calls_by_endpoint[name] += 1
        if state.is_down:
            return Response(status_code=_UNAVAILABLE)
        response = await endpoint(request)
        if state.is_down:
            return Response(status_code=_UNAVAILABLE)
        return response

    return read


def _create_json_response(message: Any) -> Response:
    return Response(encode_json(message), media_type='application/json')


async def _reject_invalid(_request: Request, error: Exception) -> Response:
    return Response(str(error), status_code=_BAD_REQUEST)
