"""The read-only administration API with its own port and key."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from jacinthcart.control._explain import Explainer
from jacinthcart.control._internal_api import create_json_response
from jacinthcart.control._node import ControlNode
from jacinthcart.control._reports import (
    ReportCollector,
    merge_decisions,
    merge_metrics,
)
from jacinthcart.control._resource_usage import ResourceUsage
from jacinthcart.control._status import describe_path, describe_status

_STATUS_UNAUTHORIZED = 401
_SCHEME = 'Bearer '

_AdminEndpoint = Callable[[Request], Awaitable[Any]]


class AdminApi:
    """Endpoints of the administration API."""

    def __init__(
        self,
        node: ControlNode,
        usage: ResourceUsage,
        reports: ReportCollector,
    ) -> None:
        """Create an API that reports on the given objects."""
        self._node = node
        self._resource_usage = usage
        self._reports = reports

    async def show_status(self, request: Request) -> Any:
        """Return the VM's status.

        If the query has a `path`, its revisions are included.
        """
        reports = await self._reports.collect()
        status = describe_status(self._node, self._resource_usage, reports)
        path = request.query_params.get('path')
        if path is not None:
            status['path'] = describe_path(self._node, path)
        return status

    async def list_decisions(self, request: Request) -> Any:
        """Return the automatic changes of all three programs."""
        reports = await self._reports.collect()
        return {'decisions': merge_decisions(reports)}

    async def export_histograms(self, request: Request) -> Any:
        """Return the histograms and counters of all three programs."""
        return merge_metrics(await self._reports.collect())

    async def explain(self, request: Request) -> Any:
        """Return the effective settings of a route and a workspace."""
        return Explainer(self._node).explain(
            request.query_params.get('route', ''),
            request.query_params.get('workspace', ''),
        )


def is_authorized(header: str, admin_key_sha256: str) -> bool:
    """Return whether the Authorization header contains the admin key."""
    key = header.removeprefix(_SCHEME)
    digest = hashlib.sha256(key.encode()).hexdigest()
    is_equal = hmac.compare_digest(digest, admin_key_sha256)
    return is_equal and header.startswith(_SCHEME)


def create_admin_application(
    node: ControlNode,
    usage: ResourceUsage,
    reports: ReportCollector,
) -> Starlette:
    """Create the application served on the admin port."""
    api = AdminApi(node, usage, reports)
    digest = node.process.admin_key_sha256
    endpoint_by_name: dict[str, _AdminEndpoint] = {
        'status': api.show_status,
        'decisions': api.list_decisions,
        'histograms': api.export_histograms,
        'explain': api.explain,
    }
    return Starlette(
        routes=[
            _create_route(f'/admin/v1/{name}', endpoint, digest)
            for name, endpoint in endpoint_by_name.items()
        ],
    )


def _create_route(
    path: str,
    endpoint: _AdminEndpoint,
    admin_key_sha256: str,
) -> Route:
    async def respond(request: Request) -> Response:
        header = request.headers.get('authorization', '')
        if not is_authorized(header, admin_key_sha256):
            return create_json_response(
                {'error': 'administration key is missing or wrong'},
                _STATUS_UNAUTHORIZED,
            )
        return create_json_response(await endpoint(request))

    return Route(path, respond, methods=['GET'])
