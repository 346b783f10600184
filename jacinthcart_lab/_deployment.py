"""Sample deployments: settings of both users at a chosen size."""

import dataclasses
import hashlib
from collections.abc import Iterator
from typing import Any

from jacinthcart_emulator import SearcherSpec

SEARCHER_ADDRESS = '127.0.2.1'


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """Size and limits of one service."""

    #: Service name.
    name: str
    #: Parts of the index.
    parts: int
    #: Searchers of each part.
    replicas: int
    #: Requests that one searcher runs at once.
    slots: int
    #: Connections that one searcher accepts.
    connection_limit: int
    #: Cost of a new connection in milliseconds.
    connect_ms: float
    #: Median time of one request in milliseconds.
    service_ms: float
    #: Shards of each part.
    shards_per_part: int = 1


@dataclasses.dataclass(frozen=True)
class RouteShape:
    """One route of a team."""

    #: Route name.
    name: str
    #: Route kind, `search`, `lookup` or `submit`.
    kind: str
    #: Service name.
    service: str
    #: Request class.
    request_class: str
    #: Longest deadline in milliseconds.
    deadline_ms: int = 2000


@dataclasses.dataclass(frozen=True)
class TeamShape:
    """One user's services, routes and workspaces."""

    #: Team name.
    name: str
    #: Data centre names.
    data_centres: tuple[str, ...]
    #: Services.
    services: tuple[ServiceShape, ...]
    #: Routes.
    routes: tuple[RouteShape, ...]
    #: Rate and burst by workspace name.
    limits_by_workspace: dict[str, tuple[float, float]]


def build_voskovka(scale: float = 1) -> TeamShape:
    """Return Voskovka's deployment with `scale` of its parts."""
    return TeamShape(
        name='voskovka',
        data_centres=('brno', 'praha', 'plzen', 'ostrava'),
        services=(
            ServiceShape('katalog', _scaled(10, scale), 3, 2, 25, 6, 4),
            ServiceShape('dobrovolnici', _scaled(15, scale), 3, 2, 25, 6, 4),
            ServiceShape('objednavky', 1, _scaled(7, scale), 3, 110, 1, 3),
            ServiceShape('fakturace', 1, _scaled(4, scale), 3, 110, 1, 3),
        ),
        routes=(
            RouteShape('katalog-search', 'search', 'katalog', 'priority'),
            RouteShape('partner-lookup', 'lookup', 'katalog', 'priority'),
            RouteShape('volunteers', 'search', 'dobrovolnici', 'ordinary'),
            RouteShape('order-status', 'lookup', 'objednavky', 'ordinary'),
            RouteShape('refill', 'submit', 'objednavky', 'ordinary'),
        ),
        limits_by_workspace=_limits('kavarna'),
    )


def build_fjordsom(scale: float = 1) -> TeamShape:
    """Return Fjordsøm's deployment with `scale` of its parts."""
    return TeamShape(
        name='fjordsom',
        data_centres=('oslo', 'bergen', 'tromso'),
        services=(
            ServiceShape('shopfront', _scaled(10, scale), 3, 6, 45, 6, 4),
            ServiceShape('orderbook', _scaled(15, scale), 3, 6, 45, 6, 4),
            ServiceShape('restock', 1, _scaled(18, scale), 3, 40, 1, 3),
            ServiceShape('proofing', 1, _scaled(9, scale), 3, 40, 1, 3),
        ),
        routes=(
            RouteShape('name-check', 'lookup', 'shopfront', 'priority'),
            RouteShape('past-orders', 'search', 'orderbook', 'ordinary'),
            RouteShape('patterns', 'search', 'shopfront', 'priority'),
            RouteShape('reorder', 'submit', 'restock', 'background'),
        ),
        limits_by_workspace=_limits('shop'),
    )


def make_key(team: str, workspace: str) -> str:
    """Return the sample key of a workspace."""
    return f'sample-key-{team}-{workspace}'


def build_values(
    teams: tuple[TeamShape, ...],
    ports: Iterator[int],
) -> tuple[dict[str, Any], list[SearcherSpec]]:
    """Return settings values by path and the searchers to emulate."""
    values: dict[str, Any] = {}
    specs: list[SearcherSpec] = []
    centres = {name: 'in' for team in teams for name in team.data_centres}
    values['fleet/data_centres'] = {'state_by_name': centres}
    for team in teams:
        root = f'teams/{team.name}'
        for shape in team.services:
            service, searchers = _build_service(team, shape, ports)
            values[f'{root}/services/{shape.name}'] = service
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


def _build_workspaces(team: TeamShape, root: str) -> dict[str, Any]:
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
    team: TeamShape,
    shape: ServiceShape,
    ports: Iterator[int],
) -> tuple[dict[str, Any], list[SearcherSpec]]:
    parts: dict[str, Any] = {}
    specs: list[SearcherSpec] = []
    for number in range(shape.parts):
        first = number * shape.shards_per_part
        shards = tuple(range(first, first + shape.shards_per_part))
        searchers: dict[str, Any] = {}
        for replica in range(shape.replicas):
            searcher_id = f'{shape.name}-{number}-{replica}'
            port = next(ports)
            centre = team.data_centres[
                (number + replica) % len(team.data_centres)
            ]
            searchers[searcher_id] = {
                'address': SEARCHER_ADDRESS,
                'port': port,
                'data_centre': centre,
            }
            specs.append(_build_spec(shape, searcher_id, port, shards))
        parts[f'part-{number}'] = {
            'shards': shards,
            'searchers_by_id': searchers,
        }
    service = {
        'parts_by_name': parts,
        'index_versions': [1],
        'slots': shape.slots,
        'connection_limit': shape.connection_limit,
    }
    return service, specs


def _build_spec(
    shape: ServiceShape,
    searcher_id: str,
    port: int,
    shards: tuple[int, ...],
) -> SearcherSpec:
    return SearcherSpec(
        id=searcher_id,
        address=SEARCHER_ADDRESS,
        port=port,
        shards=shards,
        slots=shape.slots,
        connection_limit=shape.connection_limit,
        connect_ms=shape.connect_ms,
        service_ms=shape.service_ms,
    )


def _scaled(count: int, scale: float) -> int:
    return max(2, round(count * scale))


def _limits(prefix: str) -> dict[str, tuple[float, float]]:
    sizes = (60, 40, 20, 8, 8, 8, 8, 8)
    return {
        f'{prefix}-{number}': (float(rate), float(rate * 2))
        for number, rate in enumerate(sizes, start=1)
    }
