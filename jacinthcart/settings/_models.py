"""Pydantic models of the settings values, one for each kind of path."""

import enum
from typing import Annotated

import pydantic

from jacinthcart.network import IpAddress, Port, SettingsModel

Name = Annotated[
    str,
    pydantic.Field(pattern='^[a-z0-9][a-z0-9_-]*$', max_length=64),
]


class RosterEntry(SettingsModel):
    """Location and listening ports of one VM of the query tier."""

    address: IpAddress = pydantic.Field(
        description='address that the programs of the VM listen on',
    )
    data_centre: Name = pydantic.Field(
        description='data centre of the VM',
    )
    region: Name = pydantic.Field(
        default='default',
        description='region of the VM',
    )
    entry_port: Port = pydantic.Field(
        description='TCP port for callers',
    )
    gather_port: Port = pydantic.Field(
        description='TCP port for entry and for gather on other VMs',
    )
    control_port: Port = pydantic.Field(
        description='TCP port and UDP port of control',
    )
    admin_port: Port = pydantic.Field(
        description='TCP port of the administration API',
    )


class Roster(SettingsModel):
    """`fleet/roster`: VMs that can own limit shares and searchers, by id."""

    vms_by_id: dict[Name, RosterEntry] = pydantic.Field(
        min_length=1,
        description='VMs that can own limit shares and searchers, by VM id',
    )


class DataCentreState(enum.StrEnum):
    """Whether VMs and searchers in a data centre receive new requests."""

    IN = 'in'
    OUT = 'out'


class DataCentres(SettingsModel):
    """`fleet/data_centres`: the state of each data centre by name."""

    state_by_name: dict[Name, DataCentreState] = pydantic.Field(
        description='`out` stops new requests to the searchers of a data '
        'centre; a data centre that is not listed is `in`',
    )


class RequestClass(enum.StrEnum):
    """Scheduling class of the requests of a route."""

    PRIORITY = 'priority'
    ORDINARY = 'ordinary'
    BACKGROUND = 'background'


class SearcherState(enum.StrEnum):
    """Administrative state of a searcher, set by operators."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


class Searcher(SettingsModel):
    """One backend server, a replica of all shards of its part."""

    address: IpAddress = pydantic.Field(
        description='address of the searcher',
    )
    port: Port = pydantic.Field(
        description='TCP port of the searcher',
    )
    data_centre: Name = pydantic.Field(
        description='data centre of the searcher',
    )
    state: SearcherState = pydantic.Field(
        default=SearcherState.ACTIVE,
        description='`leaving` stops new requests to the searcher',
    )


class Part(SettingsModel):
    """Group of shards with the searchers that replicate all of them."""

    shards: tuple[int, ...] = pydantic.Field(
        min_length=1,
        description='shards of the part; each shard belongs to exactly one part',
    )
    searchers_by_id: dict[Name, Searcher] = pydantic.Field(
        min_length=1,
        description='replicas, each of which holds all shards of the part',
    )


class Service(SettingsModel):
    """`teams/<team>/services/<name>`: parts, index versions and limits."""

    parts_by_name: dict[Name, Part] = pydantic.Field(
        min_length=1,
        description='parts of the index by name',
    )
    index_versions: tuple[int, ...] = pydantic.Field(
        min_length=1,
        description='index versions that queries may use, in order of preference',
    )
    partition_map: int = pydantic.Field(
        default=1,
        ge=1,
        description='revision of the assignment of shards to parts',
    )
    slots: int = pydantic.Field(
        ge=1,
        le=1000,
        description='concurrent requests that one searcher executes',
    )
    connection_limit: int = pydantic.Field(
        ge=1,
        le=10000,
        description='connections that one searcher accepts in total',
    )
    connections_per_owner: int = pydantic.Field(
        default=2,
        ge=1,
        le=100,
        description='connections that one owner VM opens to a searcher',
    )
    cold_allowance: int = pydantic.Field(
        default=1,
        ge=1,
        le=100,
        description='concurrent requests allowed to a cold searcher',
    )

    @pydantic.model_validator(mode='after')
    def _check_parts_are_disjoint(self) -> 'Service':
        shards = [
            shard
            for part in self.parts_by_name.values()
            for shard in part.shards
        ]
        if len(shards) != len(set(shards)):
            raise ValueError('a shard belongs to more than one part')
        ids = [
            searcher_id
            for part in self.parts_by_name.values()
            for searcher_id in part.searchers_by_id
        ]
        if len(ids) != len(set(ids)):
            raise ValueError('a searcher belongs to more than one part')
        return self


class RouteKind(enum.StrEnum):
    """How the requests of a route are sent to the searchers."""

    SEARCH = 'search'
    LOOKUP = 'lookup'
    SUBMIT = 'submit'


class Route(SettingsModel):
    """`teams/<team>/routes/<name>`: an operation that callers may request."""

    kind: RouteKind = pydantic.Field(
        description='`search` queries all shards, `lookup` the shard of an id; '
        '`submit` is not idempotent and is executed at most once',
    )
    service: Name = pydantic.Field(
        description='service of the same team that handles the requests',
    )
    request_class: RequestClass = pydantic.Field(
        default=RequestClass.ORDINARY,
        description='weight in fair queuing: `priority` 8, `ordinary` 3, '
        '`background` 1',
    )
    open_to_all: bool = pydantic.Field(
        default=False,
        description='whether requests are accepted without a key',
    )
    charged_workspace: Name | None = pydantic.Field(
        default=None,
        description='workspace whose rate limit an open route uses',
    )
    deadline_ms: int = pydantic.Field(
        default=1000,
        ge=1,
        le=60000,
        description='default and maximum deadline of a request',
    )
    max_body_bytes: int = pydantic.Field(
        default=65536,
        ge=1,
        le=1048576,
        description='largest accepted request body in bytes',
    )

    @pydantic.model_validator(mode='after')
    def _check_open_route_is_charged(self) -> 'Route':
        if self.open_to_all and self.charged_workspace is None:
            raise ValueError('open_to_all requires charged_workspace')
        return self


class Workspace(SettingsModel):
    """`teams/<team>/workspaces/<name>`: fleet-wide rate limit and burst."""

    rate: float = pydantic.Field(
        gt=0,
        le=1e6,
        description='requests per second over all VMs together',
    )
    burst: float = pydantic.Field(
        ge=2,
        le=1e7,
        description='maximum burst of requests over all VMs together',
    )
    weight: float = pydantic.Field(
        default=1,
        gt=0,
        le=1000,
        description='weight relative to other workspaces in fair queuing for a searcher',
    )


class Keys(SettingsModel):
    """`teams/<team>/keys/<workspace>`: digests of the accepted keys."""

    sha256_digests: tuple[
        Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')],
        ...,
    ] = pydantic.Field(
        default=(),
        description='SHA-256 digests of the accepted keys; removing a digest '
        'revokes its key',
    )
