"""HTTP API for callers."""

import dataclasses
import ipaddress
import math
import re
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route as HttpRoute

from jacinthcart.entry._addresses import AddressSelector
from jacinthcart.entry._body import RequestBody
from jacinthcart.entry._drain import Drain
from jacinthcart.entry._forward import GatherClient
from jacinthcart.entry._handler import QueryHandler
from jacinthcart.entry._messages import (
    RequestContext,
    encode_answer,
    encode_refusal,
    get_http_status,
)
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.telemetry import DecisionLog, Logger, Metrics
from jacinthcart.wire import encode_json

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_MS_PER_S = 1000
_UNKNOWN_WORKSPACE = '-'
_WORKSPACE_ID = re.compile('[a-z0-9][a-z0-9_-]{0,63}/[a-z0-9][a-z0-9_-]{0,63}')
#: Refusals for which the request may succeed on another VM.
_CODES_WITH_ADDRESSES = frozenset(
    (
        RefusalCode.LEAVING,
        RefusalCode.NOT_READY,
        RefusalCode.OVERLOADED,
        RefusalCode.BACKEND_FAILED,
    ),
)


@dataclasses.dataclass(frozen=True)
class EntryComponents:
    """Components that the endpoints use."""

    #: Settings in force, lease and clock.
    feed: StateFeed
    #: Graceful shutdown.
    drain: Drain
    #: Handler of queries.
    handler: QueryHandler
    #: Client of the gather processes.
    gather: GatherClient
    #: Selects the addresses that callers are sent to.
    addresses: AddressSelector
    #: Histograms and counters.
    metrics: Metrics
    #: Records of automatic changes.
    decisions: DecisionLog
    #: Logger of the program.
    logger: Logger


class EntryApp:
    """Endpoints for callers, and for the control process of the same VM."""

    def __init__(self, components: EntryComponents) -> None:
        """Store the components."""
        self._components = components

    def build(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                HttpRoute(
                    '/v1/teams/{team}/routes/{route}',
                    self.post_query,
                    methods=['POST'],
                ),
                HttpRoute('/v1/addresses', self.get_addresses),
                HttpRoute('/v1/ready', self.get_ready),
                HttpRoute('/v1/report', self.get_report),
            ],
            exception_handlers={
                HTTPException: self._handle_http_error,
                Exception: self._handle_unexpected_error,
            },
        )

    async def post_query(self, request: Request) -> Response:
        """Handle one query and return its answer or refusal."""
        path_params = request.path_params
        context = RequestContext(
            route_id=f'{path_params["team"]}/{path_params["route"]}',
            arrived_at=self._components.feed.clock(),
        )
        request.state.context = context
        body = RequestBody(request.receive)
        try:
            answer = await self._components.handler.handle(
                request.headers.raw,
                body,
                context,
            )
        except RefusalError as refusal:
            await body.discard()
            return self._build_refusal_response(
                refusal, context, close_connection=not body.is_exhausted
            )
        self._log_answer(context)
        return self._build_response(encode_answer(answer, context))

    async def get_addresses(self, request: Request) -> Response:
        """List the VMs that callers of a workspace should connect to."""
        workspace_id = request.query_params.get('workspace') or None
        if workspace_id and not _WORKSPACE_ID.fullmatch(workspace_id):
            return self._build_refusal_response(
                RefusalError(
                    RefusalCode.INVALID_REQUEST,
                    detail='workspace: not <team>/<name>',
                ),
                None,
            )
        policy = self._components.feed.view.policy
        prefix = await self._components.gather.get_request_id_prefix()
        message: dict[str, Any] = {
            'addresses': self._components.addresses.list_addresses(
                workspace_id
            ),
            'keep_for_ms': policy.addresses_keep_ms,
        }
        if prefix is not None:
            message['request_id_prefix'] = prefix
        return self._build_response(message)

    async def get_ready(self, request: Request) -> Response:
        """Return status 200 if the VM accepts requests, otherwise 503."""
        components = self._components
        is_ready = (
            components.feed.is_serving() and not components.drain.is_leaving
        )
        code = None if is_ready else RefusalCode.NOT_READY
        return self._build_response(
            {'ready': is_ready, 'revision': components.feed.view.revision},
            get_http_status(code) if code else _STATUS_OK,
        )

    async def get_report(self, request: Request) -> Response:
        """Return metrics and decisions to the control process of this VM."""
        if not self._is_from_own_vm(request):
            raise HTTPException(_STATUS_NOT_FOUND)
        components = self._components
        return self._build_response(
            {
                'metrics': components.metrics.export(),
                'decisions': [
                    dataclasses.asdict(decision)
                    for decision in components.decisions.list_newest()
                ],
                'set_aside': {},
                'in_flight': components.drain.in_flight,
            },
        )

    def _is_from_own_vm(self, request: Request) -> bool:
        """Return whether the client runs on this VM.

        Callers must not read the metrics of other workspaces.
        """
        if request.client is None:
            return False
        host = request.client.host
        feed = self._components.feed
        if host == feed.process.address:
            return True
        return ipaddress.ip_address(host).is_loopback

    def _build_response(
        self,
        message: dict[str, Any],
        status: int = _STATUS_OK,
        headers: dict[str, str] | None = None,
    ) -> Response:
        headers = dict(headers or {})
        if self._components.drain.is_leaving:
            headers['connection'] = 'close'
        return Response(
            encode_json(message),
            status,
            headers,
            'application/json',
        )

    def _build_refusal_response(
        self,
        refusal: RefusalError,
        context: RequestContext | None,
        *,
        close_connection: bool = False,
    ) -> Response:
        self._record_refusal(refusal, context)
        workspace_id = context.workspace_id if context else None
        try_addresses = []
        if refusal.code in _CODES_WITH_ADDRESSES:
            try_addresses = self._components.addresses.list_other_addresses(
                workspace_id
            )
        headers = {}
        if refusal.retry_after_ms is not None:
            seconds = math.ceil(refusal.retry_after_ms / _MS_PER_S)
            headers['retry-after'] = str(seconds)
        if close_connection:
            headers['connection'] = 'close'
        return self._build_response(
            encode_refusal(refusal, context, try_addresses),
            get_http_status(refusal.code),
            headers,
        )

    def _record_refusal(
        self,
        refusal: RefusalError,
        context: RequestContext | None,
    ) -> None:
        workspace_id = _UNKNOWN_WORKSPACE
        if context and context.workspace_id:
            workspace_id = context.workspace_id
        metrics = self._components.metrics
        metrics.count('refusal', refusal.code, refusal.ran)
        metrics.count(
            'refusal_by_workspace',
            workspace_id,
            refusal.code,
            refusal.ran,
        )
        self._components.logger.warning(
            'request refused',
            limit_key=f'{refusal.code}|{refusal.ran}|{workspace_id}',
            code=refusal.code,
            ran=refusal.ran,
            **self._build_log_fields(context),
        )

    def _log_answer(self, context: RequestContext) -> None:
        self._components.logger.debug(
            'request answered', **self._build_log_fields(context)
        )

    def _build_log_fields(
        self, context: RequestContext | None
    ) -> dict[str, Any]:
        return {
            'request_id': context.request_id if context else None,
            'workspace': context.workspace_id if context else None,
            'request_class': context.request_class if context else None,
            'revision': self._components.feed.view.revision,
        }

    async def _handle_http_error(
        self,
        request: Request,
        error: Exception,
    ) -> Response:
        status = error.status_code if isinstance(error, HTTPException) else 0
        code = RefusalCode.INVALID_REQUEST
        if status == _STATUS_NOT_FOUND:
            code = RefusalCode.UNKNOWN_ROUTE
        return self._build_refusal_response(
            RefusalError(code, detail='no such path'), None
        )

    async def _handle_unexpected_error(
        self,
        request: Request,
        error: Exception,
    ) -> Response:
        # Only the type is logged: the message may quote the request.
        self._components.logger.error(
            'request failed',
            error=type(error).__name__,
        )
        return self._build_refusal_response(
            RefusalError(RefusalCode.INTERNAL, Ran.UNKNOWN),
            getattr(request.state, 'context', None),
        )
