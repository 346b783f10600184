"""HTTP API for the entry and gather processes of this VM and for peers."""

from collections.abc import Awaitable, Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from jacinthcart.control._node import ControlNode
from jacinthcart.control._state_service import StateService
from jacinthcart.errors import (
    BodyMemoryError,
    BodyTooLargeError,
    InvalidMessageError,
)
from jacinthcart.wire import BodyReader, decode_json, encode_json

_STATUS_BAD_REQUEST = 400
_STATUS_TOO_LARGE = 413
_STATUS_UNAVAILABLE = 503
#: Bytes of one request body. The largest reports warm entries, of about 150
#: bytes for each searcher.
_MAX_BODY_BYTES = 4 * 1024 * 1024
#: Bytes of all request bodies that are being received.
_MAX_HELD_BYTES = 32 * 1024 * 1024

_JsonEndpoint = Callable[[Request], Awaitable[Any]]


class InternalApi:
    """Endpoints for entry, gather and the control processes of other VMs."""

    def __init__(self, node: ControlNode) -> None:
        """Create an API that serves the state of `node`."""
        self._node = node
        self._states = StateService(node)
        self._bodies = BodyReader(_MAX_BODY_BYTES, _MAX_HELD_BYTES)

    async def poll_state(self, request: Request) -> dict[str, Any]:
        """Handle a state poll of a local process."""
        query = request.query_params
        return await self._states.poll(
            query.get('program', ''),
            query.get('after', ''),
            _read_number(query.get('wait_ms', '0')),
            query.get('ready') == '1',
        )

    async def handle_permits(self, request: Request) -> dict[str, Any]:
        """Handle a permit request of the entry process."""
        message = await self._read_object(request)
        return await self._node.dependencies.permits.handle(message)

    async def report_warm(self, request: Request) -> dict[str, Any]:
        """Merge and replicate warm entries reported by the gather process."""
        message = await self._read_object(request)
        await self._node.warm_replicator.report(message.get('entries'))
        return {}

    async def export_warm(self, request: Request) -> dict[str, Any]:
        """Return all warm entries to a peer."""
        return {'entries': self._node.state.warm.export()}

    async def export_settings(self, request: Request) -> dict[str, Any]:
        """Return the settings that a peer at revision `after` is missing."""
        after = _read_number(request.query_params.get('after', '0'))
        return self._node.export_settings(after)

    async def _read_object(self, request: Request) -> dict[str, Any]:
        body = await self._bodies.read(
            request.stream(), request.headers.get('content-length')
        )
        message = decode_json(body)
        if not isinstance(message, dict):
            raise InvalidMessageError('body is not an object')
        return message


def create_internal_application(node: ControlNode) -> Starlette:
    """Create the application served on the control port."""
    api = InternalApi(node)
    return Starlette(
        routes=[
            _create_route('/v1/state', 'GET', api.poll_state),
            _create_route('/v1/permits', 'POST', api.handle_permits),
            _create_route('/v1/warm', 'POST', api.report_warm),
            _create_route('/v1/warm', 'GET', api.export_warm),
            _create_route('/v1/settings', 'GET', api.export_settings),
        ],
    )


def _create_route(path: str, method: str, endpoint: _JsonEndpoint) -> Route:
    async def respond(request: Request) -> Response:
        try:
            message = await endpoint(request)
        except InvalidMessageError as error:
            return _create_error_response(error, _STATUS_BAD_REQUEST)
        except BodyTooLargeError as error:
            return _create_error_response(error, _STATUS_TOO_LARGE)
        except BodyMemoryError as error:
            return _create_error_response(error, _STATUS_UNAVAILABLE)
        return create_json_response(message)

    return Route(path, respond, methods=[method])


def _create_error_response(error: Exception, status: int) -> Response:
    return create_json_response({'error': str(error)}, status)


def create_json_response(message: Any, status: int = 200) -> Response:
    """Create a response with a JSON body."""
    return Response(
        encode_json(message),
        status_code=status,
        media_type='application/json',
    )


def _read_number(text: str) -> int:
    if not text.isdecimal():
        raise InvalidMessageError(
            'query parameter is not a non-negative integer'
        )
    return int(text)
