"""Decodes the configuration document and the entries of searchers."""

import re

import pydantic

from jacinthcart.catalogue import (
    Catalogue,
    FrontLimits,
    Route,
    Searcher,
    SearcherState,
    ServiceConfig,
    TrafficShare,
    WorkspaceConfig,
)
from jacinthcart.errors import InvalidMessageError, SettingsError
from jacinthcart.platform.settings_file import decode_endpoint
from jacinthcart.wire import decode_json

_MS_PER_S = 1000
_IDEMPOTENT = 'idempotent'
#: Limits of the numbers in an entry, far above any real value. Entries may
#: come from faulty writers, and larger numbers overflow in calculations.
_MAX_SLOTS = 1_000_000
_MAX_COLD_MS = 3_600_000
_MAX_INTEGER = (1 << 63) - 1
#: Ids are sent in a header.
_SEARCHER_ID = re.compile('[!-~]{1,200}')


class _SplitBody(pydantic.BaseModel):
    service: str
    weight: float = pydantic.Field(ge=0)


class _RouteBody(pydantic.BaseModel):
    """A route; exactly one of service, traffic_split and gather is set."""

    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    attempts: int = 1
    public: bool = False
    service: str | None = None
    traffic_split: list[_SplitBody] | None = None
    #: Services that each hold one shard.
    gather: list[str] | None = None
    top_k: int = 0
    min_shard_ratio: float = 0

    def count_destinations(self) -> int:
        """Return how many kinds of destination are set."""
        kinds = (self.service, self.traffic_split, self.gather)
        return sum(bool(kind) for kind in kinds)

    def decode(self) -> Route:
        """Return the route as used inside the project."""
        shares = [
            TrafficShare(split.service, split.weight)
            for split in self.traffic_split or ()
        ]
        if self.service is not None:
            shares = [TrafficShare(self.service, 1)]
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            is_idempotent=self.route_type == _IDEMPOTENT,
            timeout_s=self.timeout_ms / _MS_PER_S,
            target_s=self.target_latency_ms / _MS_PER_S,
            priority=self.priority,
            attempts=self.attempts,
            is_public=self.public,
            shares=tuple(shares),
            shards=tuple(self.gather or ()),
            top_k=self.top_k,
            min_shard_fraction=self.min_shard_ratio,
        )


class _ServiceBody(pydantic.BaseModel):
    name: str
    max_connections: int = 16
    warmup_s: float = 0
    warmup_per_s: float = 0


class _LimitsBody(pydantic.BaseModel):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _TenantBody(pydantic.BaseModel):
    """A workspace with its keys and rate limit."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


class ConfigurationBody(pydantic.BaseModel):
    """The configuration document; unknown fields are ignored."""

    version: int
    routes: list[_RouteBody]
    services: list[_ServiceBody] = []
    limits: _LimitsBody = _LimitsBody()
    tenants: list[_TenantBody] = []


class _ServerBody(pydantic.BaseModel):
    """Entry of a searcher; values of another type are errors."""

    model_config = pydantic.ConfigDict(strict=True)

    service: str
    address: str
    zone: str
    concurrency_limit: int = pydantic.Field(ge=1, le=_MAX_SLOTS)
    state: SearcherState
    #: Milliseconds until the searcher is warm.
    warmup_left_ms: float = pydantic.Field(ge=0, le=_MAX_COLD_MS)
    sequence: int = pydantic.Field(ge=0, le=_MAX_INTEGER)
    #: Start time of the searcher in Unix milliseconds.
    born: int = pydantic.Field(default=0, ge=0, le=_MAX_INTEGER)


def decode_catalogue(content: bytes) -> Catalogue:
    """Decode a configuration document; raise InvalidMessageError."""
    try:
        body = ConfigurationBody.model_validate(decode_json(content))
    except pydantic.ValidationError as error:
        raise InvalidMessageError(str(error)) from error
    routes_by_host: dict[str, list[Route]] = {}
    for route_body in body.routes:
        route = route_body.decode()
        routes_by_host.setdefault(route.host, []).append(route)
    return Catalogue(
        version=body.version,
        routes_by_host={
            host: tuple(sorted(routes, key=_order_by_prefix))
            for host, routes in routes_by_host.items()
        },
        services_by_name={
            one.name: ServiceConfig(
                one.name,
                one.max_connections,
                one.warmup_per_s,
            )
            for one in body.services
        },
        workspaces_by_name={
            one.name: WorkspaceConfig(
                one.name,
                one.priority,
                one.rate_per_s,
                one.burst,
            )
            for one in body.tenants
        },
        workspace_name_by_key={
            key: one.name for one in body.tenants for key in one.api_keys
        },
        limits=FrontLimits(
            body.limits.max_header_bytes,
            body.limits.max_body_bytes,
            body.limits.header_timeout_ms / _MS_PER_S,
            body.limits.idle_timeout_ms / _MS_PER_S,
        ),
    )


def decode_searcher(searcher_id: str, content: bytes) -> Searcher:
    """Decode the entry of a searcher; raise InvalidMessageError."""
    if not _SEARCHER_ID.fullmatch(searcher_id):
        raise InvalidMessageError(f'{searcher_id!r} is not a searcher id')
    try:
        body = _ServerBody.model_validate_json(content)
        endpoint = decode_endpoint(body.address)
    except (pydantic.ValidationError, SettingsError) as error:
        raise InvalidMessageError(f'{searcher_id}: {error}') from error
    return Searcher(
        searcher_id=searcher_id,
        service=body.service,
        address=endpoint.address,
        port=endpoint.port,
        data_centre=body.zone,
        slots=body.concurrency_limit,
        state=body.state,
        cold_left_ms=body.warmup_left_ms,
        born=body.born,
        sequence=body.sequence,
    )


def _order_by_prefix(route: Route) -> int:
    return -len(route.prefix)
