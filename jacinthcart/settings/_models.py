"""Validated models of the settings values, one class for each path kind."""

import enum
from typing import Annotated

import pydantic

from jacinthcart.network import IpAddress, Port, SettingsModel

Name = Annotated[
    str,
    pydantic.Field(pattern='^[a-z0-9][a-z0-9_-]*$', max_length=64),
]


class RosterEntry(SettingsModel):
    """Where one VM of the query tier listens."""

    address: IpAddress = pydantic.Field(
        description='address that the programs of the VM listen on',
    )
    data_centre: Name = pydantic.Field(
        description='data centre that the VM stands in',
    )
    region: Name = pydantic.Field(
        default='default',
        description='region that the VM stands in',
    )
    entry_port: Port = pydantic.Field(
        description='TCP port for callers',
    )
    gather_port: Port = pydantic.Field(
        description='TCP port for entries and other gathers',
    )
    control_port: Port = pydantic.Field(
        description='TCP port of control and UDP port of its datagrams',
    )
    admin_port: Port = pydantic.Field(
        description='TCP port of the administration API',
    )


class Roster(SettingsModel):
    """`fleet/roster`: the VMs that may hold rights, by VM id."""

    vms_by_id: dict[Name, RosterEntry] = pydantic.Field(
        min_length=1,
        description='VMs that may hold rights, by VM id',
    )


class DataCentreState(enum.StrEnum):
    """Whether a data centre receives new work."""

    IN = 'in'
    OUT = 'out'


class DataCentres(SettingsModel):
    """`fleet/data_centres`: the state of each data centre by name."""

    state_by_name: dict[Name, DataCentreState] = pydantic.Field(
        description='`out` stops new work to the searchers of a data '
        'centre; one that is not named is `in`',
    )


class RequestClass(enum.StrEnum):
    """The class of a route's requests."""

    PRIORITY = 'priority'
    ORDINARY = 'ordinary'
    BACKGROUND = 'background'


class SearcherState(enum.StrEnum):
    """Whether operators keep a searcher in service."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


class Searcher(SettingsModel):
    """One backend server that answers for the shards of its part."""

    address: IpAddress = pydantic.Field(
        description='address of the searcher',
    )
    port: Port = pydantic.Field(
        description='TCP port of the searcher',
    )
    data_centre: Name = pydantic.Field(
        description='data centre that the searcher stands in',
    )
    state: SearcherState = pydantic.Field(
        default=SearcherState.ACTIVE,
        description='`leaving` stops new work to the searcher',
    )


class Part(SettingsModel):
    """Shards and the searchers that are replicas of all of them."""

    shards: tuple[int, ...] = pydantic.Field(
        min_length=1,
        description='shards of the part; a shard belongs to one part',
    )
    searchers_by_id: dict[Name, Searcher] = pydantic.Field(
        min_length=1,
        description='searchers that each hold all shards of the part',
    )


class Service(SettingsModel):
    """`teams/<team>/services/<name>`: parts, versions and limits."""

    parts_by_name: dict[Name, Part] = pydantic.Field(
        min_length=1,
        description='parts of the index by name',
    )
    index_versions: tuple[int, ...] = pydantic.Field(
        min_length=1,
        description='versions that queries may use, preferred first',
    )
    partition_map: int = pydantic.Field(
        default=1,
        ge=1,
        description='revision of the assignment of shards to parts',
    )
    slots: int = pydantic.Field(
        ge=1,
        le=1000,
        description='requests that one searcher runs at once',
    )
    connection_limit: int = pydantic.Field(
        ge=1,
        le=10000,
        description='connections that one searcher accepts in all',
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
        description='concurrent requests that a cold searcher bears',
    )

    @pydantic.model_validator(mode='after')
    def _check_shards_are_disjoint(self) -> 'Service':
        shards = [
            shard
            for part in self.parts_by_name.values()
            for shard in part.shards
        ]
        if len(shards) != len(set(shards)):
            raise ValueError('a shard stands in two parts')
        ids = [
            searcher_id
            for part in self.parts_by_name.values()
            for searcher_id in part.searchers_by_id
        ]
        if len(ids) != len(set(ids)):
            raise ValueError('a searcher stands in two parts')
        return self


class RouteKind(enum.StrEnum):
    """How a route's requests reach the searchers."""

    SEARCH = 'search'
    LOOKUP = 'lookup'
    SUBMIT = 'submit'


class Route(SettingsModel):
    """`teams/<team>/routes/<name>`: what callers may ask for."""

    kind: RouteKind = pydantic.Field(
        description='`search` asks all shards, `lookup` the shard of an id, '
        '`submit` is not idempotent and runs at most once',
    )
    service: Name = pydantic.Field(
        description='service of the same team that answers',
    )
    request_class: RequestClass = pydantic.Field(
        default=RequestClass.ORDINARY,
        description='weight in the queues: `priority` 8, `ordinary` 3, '
        '`background` 1',
    )
    open_to_all: bool = pydantic.Field(
        default=False,
        description='whether requests need no key',
    )
    charged_workspace: Name | None = pydantic.Field(
        default=None,
        description='workspace whose rate an open route uses',
    )
    deadline_ms: int = pydantic.Field(
        default=1000,
        ge=1,
        le=60000,
        description='deadline of a request that names none, and the most',
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
            raise ValueError('an open route needs charged_workspace')
        return self


class Workspace(SettingsModel):
    """`teams/<team>/workspaces/<name>`: fleet-wide rate and burst."""

    rate: float = pydantic.Field(
        gt=0,
        le=1e6,
        description='requests a second over all VMs together',
    )
    burst: float = pydantic.Field(
        ge=2,
        le=1e7,
        description='requests at once over all VMs together',
    )
    weight: float = pydantic.Field(
        default=1,
        gt=0,
        le=1000,
        description='share of a searcher beside other workspaces',
    )


class Keys(SettingsModel):
    """`teams/<team>/keys/<workspace>`: digests of the granted keys."""

    sha256_digests: tuple[
        Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')],
        ...,
    ] = pydantic.Field(
        default=(),
        description='SHA-256 digests of the keys that work; a removed '
        'digest stops its key',
    )
