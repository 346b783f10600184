"""The callers' HTTP interface."""

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

from jacinthcart.entry._addresses import AddressBook
from jacinthcart.entry._body import RequestBody
from jacinthcart.entry._drain import Drain
from jacinthcart.entry._forward import GatherClient
from jacinthcart.entry._handler import QueryHandler
from jacinthcart.entry._messages import (
    Exchange,
    encode_answer,
    encode_refusal,
    find_status,
)
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.telemetry import DecisionLog, Logger, Metrics
from jacinthcart.wire import encode_json

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_MS_PER_S = 1000
_UNKNOWN = '-'
_WORKSPACE_ID = re.compile('[a-z0-9][a-z0-9_-]{0,63}/[a-z0-9][a-z0-9_-]{0,63}')
#: Refusals that another VM may not repeat.
_CODES_WITH_ADDRESSES = frozenset(
    (
        RefusalCode.LEAVING,
        RefusalCode.NOT_READY,
        RefusalCode.OVERLOADED,
        RefusalCode.BACKEND_FAILED,
    ),
)


@dataclasses.dataclass(frozen=True)
class EntryParts:
    """What the interface is made of."""

    #: Settings in force, lease and clock.
    feed: StateFeed
    #: Graceful shutdown.
    drain: Drain
    #: Handles queries.
    handler: QueryHandler
    #: Calls gather.
    gather: GatherClient
    #: Chooses addresses.
    addresses: AddressBook
    #: Histograms and counters.
    metrics: Metrics
    #: Automatic changes.
    decisions: DecisionLog
    #: Log lines.
    logger: Logger


class EntryApp:
    """Endpoints for callers and, on the VM itself, for control."""

    def __init__(self, parts: EntryParts) -> None:
        """Keep the parts."""
        self._parts = parts

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
                Exception: self._handle_failure,
            },
        )

    async def post_query(self, request: Request) -> Response:
        """Run one request."""
        steps = request.path_params
        exchange = Exchange(
            route_id=f'{steps["team"]}/{steps["route"]}',
            arrived_at=self._parts.feed.clock(),
        )
        request.state.exchange = exchange
        body = RequestBody(request.receive)
        try:
            answer = await self._parts.handler.handle(
                request.headers.raw,
                body,
                exchange,
            )
        except RefusalError as refusal:
            await body.discard()
            return self._refuse(refusal, exchange, closes=not body.is_ended)
        self._log_answer(exchange)
        return self._respond(encode_answer(answer, exchange))

    async def get_addresses(self, request: Request) -> Response:
        """List the VMs that a workspace's callers connect to."""
        workspace_id = request.query_params.get('workspace') or None
        if workspace_id and not _WORKSPACE_ID.fullmatch(workspace_id):
            return self._refuse(
                RefusalError(
                    RefusalCode.INVALID_REQUEST,
                    detail='workspace: not <team>/<name>',
                ),
                None,
            )
        policy = self._parts.feed.view.policy
        prefix = await self._parts.gather.find_prefix()
        message: dict[str, Any] = {
            'addresses': self._parts.addresses.list_addresses(workspace_id),
            'keep_for_ms': policy.addresses_keep_ms,
        }
        if prefix is not None:
            message['request_id_prefix'] = prefix
        return self._respond(message)

    async def get_ready(self, request: Request) -> Response:
        """Tell whether the VM takes requests: status 200, otherwise 503."""
        parts = self._parts
        is_ready = parts.feed.is_serving() and not parts.drain.is_leaving
        code = None if is_ready else RefusalCode.NOT_READY
        return self._respond(
            {'ready': is_ready, 'revision': parts.feed.view.revision},
            find_status(code) if code else _STATUS_OK,
        )

    async def get_report(self, request: Request) -> Response:
        """Export metrics and decisions to control on the same VM."""
        if not self._is_own_vm(request):
            raise HTTPException(_STATUS_NOT_FOUND)
        parts = self._parts
        return self._respond(
            {
                'metrics': parts.metrics.export(),
                'decisions': [
                    dataclasses.asdict(decision)
                    for decision in parts.decisions.list_newest()
                ],
                'set_aside': {},
                'in_flight': parts.drain.in_flight,
            },
        )

    def _is_own_vm(self, request: Request) -> bool:
        """Callers must not read other workspaces' figures."""
        if request.client is None:
            return False
        host = request.client.host
        feed = self._parts.feed
        if host == feed.process.address:
            return True
        return ipaddress.ip_address(host).is_loopback

    def _respond(
        self,
        message: dict[str, Any],
        status: int = _STATUS_OK,
        headers: dict[str, str] | None = None,
    ) -> Response:
        headers = dict(headers or {})
        if self._parts.drain.is_leaving:
            headers['connection'] = 'close'
        return Response(
            encode_json(message),
            status,
            headers,
            'application/json',
        )

    def _refuse(
        self,
        refusal: RefusalError,
        exchange: Exchange | None,
        *,
        closes: bool = False,
    ) -> Response:
        self._record_refusal(refusal, exchange)
        workspace_id = exchange.workspace_id if exchange else None
        try_addresses = []
        if refusal.code in _CODES_WITH_ADDRESSES:
            try_addresses = self._parts.addresses.list_others(workspace_id)
        headers = {}
        if refusal.retry_after_ms is not None:
            seconds = math.ceil(refusal.retry_after_ms / _MS_PER_S)
            headers['retry-after'] = str(seconds)
        if closes:
            headers['connection'] = 'close'
        return self._respond(
            encode_refusal(refusal, exchange, try_addresses),
            find_status(refusal.code),
            headers,
        )

    def _record_refusal(
        self,
        refusal: RefusalError,
        exchange: Exchange | None,
    ) -> None:
        workspace_id = _UNKNOWN
        if exchange and exchange.workspace_id:
            workspace_id = exchange.workspace_id
        metrics = self._parts.metrics
        metrics.count('refusal', refusal.code, refusal.ran)
        metrics.count(
            'refusal_by_workspace',
            workspace_id,
            refusal.code,
            refusal.ran,
        )
        self._parts.logger.warning(
            'request refused',
            limit_key=f'{refusal.code}|{refusal.ran}|{workspace_id}',
            code=refusal.code,
            ran=refusal.ran,
            **self._describe(exchange),
        )

    def _log_answer(self, exchange: Exchange) -> None:
        self._parts.logger.debug('request answered', **self._describe(exchange))

    def _describe(self, exchange: Exchange | None) -> dict[str, Any]:
        return {
            'request_id': exchange.request_id if exchange else None,
            'workspace': exchange.workspace_id if exchange else None,
            'request_class': exchange.request_class if exchange else None,
            'revision': self._parts.feed.view.revision,
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
        return self._refuse(RefusalError(code, detail='no such path'), None)

    async def _handle_failure(
        self,
        request: Request,
        error: Exception,
    ) -> Response:
        # The error's text may quote the request, its type does not.
        self._parts.logger.error(
            'request failed',
            error=type(error).__name__,
        )
        return self._refuse(
            RefusalError(RefusalCode.INTERNAL, Ran.UNKNOWN),
            getattr(request.state, 'exchange', None),
        )
