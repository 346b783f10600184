"""Handling of one query from arrival to answer."""

import random
from collections.abc import Iterable

from jacinthcart.entry._admission import Admission
from jacinthcart.entry._body import RequestBody
from jacinthcart.entry._drain import Drain
from jacinthcart.entry._forward import GatherCall, GatherClient
from jacinthcart.entry._gather_messages import GatherAnswerMessage
from jacinthcart.entry._keys import Grant, read_key_digest
from jacinthcart.entry._messages import (
    QueryMessage,
    RequestContext,
    parse_home_vm,
    parse_query_message,
)
from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.settings import Route, RouteKind
from jacinthcart.telemetry import Metrics

_REQUEST_ID_BITS = 128
_MS_PER_S = 1000


class QueryHandler:
    """Validates, admits and forwards queries."""

    def __init__(
        self,
        feed: StateFeed,
        admission: Admission,
        gather: GatherClient,
        drain: Drain,
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        """Store the dependencies of the handler."""
        self._feed = feed
        self._admission = admission
        self._gather = gather
        self._drain = drain
        self._metrics = metrics
        self._random = random_source

    async def handle(
        self,
        headers: Iterable[tuple[bytes, bytes]],
        body: RequestBody,
        context: RequestContext,
    ) -> GatherAnswerMessage:
        """Return the answer; raise RefusalError.

        `context` is completed step by step, so that a refusal contains the
        fields that were set before it.
        """
        self._admission.check_accepting()
        digest = read_key_digest(headers)
        grant = self._admission.authorize(context.route_id, digest)
        context.workspace_id = grant.workspace_id
        context.request_class = grant.route.request_class
        message = await _read_message(body, grant.route)
        _check_workspace(message, grant)
        deadline = _compute_deadline(message, grant.route, context.arrived_at)
        home_vm = await self._assign_request_id(message, grant.route, context)
        grant = await self._admission.admit(grant, digest, deadline)
        call = GatherCall(
            request_id=context.request_id or '',
            service_id=_get_service_id(grant),
            route_kind=grant.route.kind,
            workspace_id=grant.workspace_id,
            request_class=grant.route.request_class,
            deadline=deadline,
            query=message.query,
            home_vm=home_vm,
        )
        return await self._forward(call, context)

    async def _forward(
        self,
        call: GatherCall,
        context: RequestContext,
    ) -> GatherAnswerMessage:
        try:
            with self._drain.limit():
                return await self._gather.forward(call)
        finally:
            self._metrics.record_seconds(
                ('request', call.workspace_id, call.request_class),
                self._feed.clock() - context.arrived_at,
            )

    async def _assign_request_id(
        self,
        message: QueryMessage,
        route: Route,
        context: RequestContext,
    ) -> str | None:
        """Set the request id; return its home VM, or None if idempotent."""
        context.request_id = message.request_id
        is_submit = route.kind is RouteKind.SUBMIT
        if context.request_id is None:
            prefix = self._feed.process.vm_id
            if is_submit:
                prefix = await self._require_prefix()
            random_part = f'{self._random.getrandbits(_REQUEST_ID_BITS):032x}'
            context.request_id = f'{prefix}.{random_part}'
        return parse_home_vm(context.request_id) if is_submit else None

    async def _require_prefix(self) -> str:
        prefix = await self._gather.get_request_id_prefix()
        if prefix is None:
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='gather is not reachable',
            )
        return prefix


async def _read_message(body: RequestBody, route: Route) -> QueryMessage:
    return parse_query_message(
        await body.read(route.max_body_bytes, route.deadline_ms / _MS_PER_S),
    )


def _check_workspace(message: QueryMessage, grant: Grant) -> None:
    if message.workspace not in {None, grant.workspace_id}:
        raise RefusalError(
            RefusalCode.WORKSPACE_MISMATCH,
            detail='the key belongs to another workspace',
        )


def _compute_deadline(
    message: QueryMessage,
    route: Route,
    arrived_at: float,
) -> float:
    deadline_ms = min(
        message.deadline_ms or route.deadline_ms, route.deadline_ms
    )
    return arrived_at + deadline_ms / _MS_PER_S


def _get_service_id(grant: Grant) -> str:
    team = grant.route_id.split('/')[0]
    return f'{team}/{grant.route.service}'
