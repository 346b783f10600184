"""Sample deployments of two teams with a configurable size."""

import dataclasses
import hashlib
from collections.abc import Iterator
from typing import Any

from jacinthcart_emulator import SearcherSpec

SEARCHER_ADDRESS = '127.0.2.1'


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """Size and limits of one service."""

    #: Service name.
    name: str
    #: Number of index parts.
    parts: int
    #: Number of searchers of each part.
    replicas: int
    #: Maximum number of requests that one searcher runs concurrently.
    slots: int
    #: Maximum number of connections to one searcher.
    connection_limit: int
    #: Time to open a connection, in milliseconds.
    connect_ms: float
    #: Median service time of a request, in milliseconds.
    service_ms: float
    #: Number of shards in each part.
    shards_per_part: int = 1


@dataclasses.dataclass(frozen=True)
class RouteSpec:
    """One route of a team."""

    #: Route name.
    name: str
    #: Route kind, `search`, `lookup` or `submit`.
    kind: str
    #: Service name.
    service: str
    #: Request class.
    request_class: str
    #: Maximum deadline, in milliseconds.
    deadline_ms: int = 2000


@dataclasses.dataclass(frozen=True)
class TeamSpec:
    """Services, routes and workspaces of one team."""

    #: Team name.
    name: str
    #: Data centre names.
    data_centres: tuple[str, ...]
    #: Services.
    services: tuple[ServiceSpec, ...]
    #: Routes.
    routes: tuple[RouteSpec, ...]
    #: Rate in requests per second and burst in requests, by workspace name.
    limits_by_workspace: dict[str, tuple[float, float]]


def build_voskovka(scale: float = 1) -> TeamSpec:
    """Return Voskovka's deployment with its searchers scaled by `scale`."""
    return TeamSpec(
        name='voskovka',
        data_centres=('brno', 'praha', 'plzen', 'ostrava'),
        services=(
            ServiceSpec('katalog', _scaled(10, scale), 3, 2, 25, 6, 4),
            ServiceSpec('dobrovolnici', _scaled(15, scale), 3, 2, 25, 6, 4),
            ServiceSpec('objednavky', 1, _scaled(7, scale), 3, 110, 1, 3),
            ServiceSpec('fakturace', 1, _scaled(4, scale), 3, 110, 1, 3),
        ),
        routes=(
            RouteSpec('katalog-search', 'search', 'katalog', 'priority'),
            RouteSpec('partner-lookup', 'lookup', 'katalog', 'priority'),
            RouteSpec('volunteers', 'search', 'dobrovolnici', 'ordinary'),
            RouteSpec('order-status', 'lookup', 'objednavky', 'ordinary'),
            RouteSpec('refill', 'submit', 'objednavky', 'ordinary'),
        ),
        limits_by_workspace=_limits('kavarna'),
    )


def build_fjordsom(scale: float = 1) -> TeamSpec:
    """Return Fjordsøm's deployment with its searchers scaled by `scale`."""
    return TeamSpec(
        name='fjordsom',
        data_centres=('oslo', 'bergen', 'tromso'),
        services=(
            ServiceSpec('shopfront', _scaled(10, scale), 3, 6, 45, 6, 4),
            ServiceSpec('orderbook', _scaled(15, scale), 3, 6, 45, 6, 4),
            ServiceSpec('restock', 1, _scaled(18, scale), 3, 40, 1, 3),
            ServiceSpec('proofing', 1, _scaled(9, scale), 3, 40, 1, 3),
        ),
        routes=(
            RouteSpec('name-check', 'lookup', 'shopfront', 'priority'),
            RouteSpec('past-orders', 'search', 'orderbook', 'ordinary'),
            RouteSpec('patterns', 'search', 'shopfront', 'priority'),
            RouteSpec('reorder', 'submit', 'restock', 'background'),
        ),
        limits_by_workspace=_limits('shop'),
    )


def make_key(team: str, workspace: str) -> str:
    """Return the sample key of a workspace."""
    return f'sample-key-{team}-{workspace}'


def build_values(
    teams: tuple[TeamSpec, ...],
    ports: Iterator[int],
) -> tuple[dict[str, Any], list[SearcherSpec]]:
    """Return settings values by path and the searchers to emulate."""
    values: dict[str, Any] = {}
    specs: list[SearcherSpec] = []
    centres = {name: 'in' for team in teams for name in team.data_centres}
    values['fleet/data_centres'] = {'state_by_name': centres}
    for team in teams:
        root = f'teams/{team.name}'
        for service_spec in team.services:
            service, searchers = _build_service(team, service_spec, ports)
            values[f'{root}/services/{service_spec.name}'] = service
            specs.extend(searchers)
        for route in team.routes:
            values[f'{root}/routes/{route.name}'] = {
                'kind': route.kind,
                'service': route.service,
                'request_class': route.request_class,
                'deadline_ms': route.deadline_ms,
            }
        values.update(_build_workspaces(team, root))
    return values, specs


def _build_workspaces(team: TeamSpec, root: str) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for workspace, limit in team.limits_by_workspace.items():
        values[f'{root}/workspaces/{workspace}'] = {
            'rate': limit[0],
            'burst': limit[1],
        }
        key = make_key(team.name, workspace)
        digest = hashlib.sha256(key.encode()).hexdigest()
        values[f'{root}/keys/{workspace}'] = {'sha256_digests': [digest]}
    return values


def _build_service(
    team: TeamSpec,
    service_spec: ServiceSpec,
    ports: Iterator[int],
) -> tuple[dict[str, Any], list[SearcherSpec]]:
    parts: dict[str, Any] = {}
    specs: list[SearcherSpec] = []
    for number in range(service_spec.parts):
        first = number * service_spec.shards_per_part
        shards = tuple(range(first, first + service_spec.shards_per_part))
        searchers: dict[str, Any] = {}
        for replica in range(service_spec.replicas):
            searcher_id = f'{service_spec.name}-{number}-{replica}'
            port = next(ports)
            centre = team.data_centres[
                (number + replica) % len(team.data_centres)
            ]
            searchers[searcher_id] = {
                'address': SEARCHER_ADDRESS,
                'port': port,
                'data_centre': centre,
            }
            specs.append(_build_spec(service_spec, searcher_id, port, shards))
        parts[f'part-{number}'] = {
            'shards': shards,
            'searchers_by_id': searchers,
        }
    service = {
        'parts_by_name': parts,
        'index_versions': [1],
        'slots': service_spec.slots,
        'connection_limit': service_spec.connection_limit,
    }
    return service, specs


def _build_spec(
    service_spec: ServiceSpec,
    searcher_id: str,
    port: int,
    shards: tuple[int, ...],
) -> SearcherSpec:
    return SearcherSpec(
        id=searcher_id,
        address=SEARCHER_ADDRESS,
        port=port,
        shards=shards,
        slots=service_spec.slots,
        connection_limit=service_spec.connection_limit,
        connect_ms=service_spec.connect_ms,
        service_ms=service_spec.service_ms,
    )


def _scaled(count: int, scale: float) -> int:
    return max(2, round(count * scale))


def _limits(prefix: str) -> dict[str, tuple[float, float]]:
    sizes = (60, 40, 20, 8, 8, 8, 8, 8)
    return {
        f'{prefix}-{number}': (float(rate), float(rate * 2))
        for number, rate in enumerate(sizes, start=1)
    }
