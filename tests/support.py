"""Helpers shared by the tests of several packages."""

from collections.abc import Awaitable, Callable
from typing import Any

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
from jacinthcart.fleet import MemberRecord, MemberState
from jacinthcart.readings import Item, Position
from jacinthcart.routing import CallerRequest
from jacinthcart_lab import _virtual_time as virtual_time


class ManualClock:
    """A clock that tests advance explicitly."""

    def __init__(self, now: float = 1000.0) -> None:
        """Start at `now` seconds."""
        self.now = now

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self.now += seconds


def run_in_virtual_time(
    function: Callable[..., Awaitable[Any]],
    *arguments: Any,
) -> Any:
    """Run an async test in virtual time with a fixed order of tasks."""
    return virtual_time.run_in_virtual_time(function, *arguments, seed=1)


def create_item(
    key: str, revision: int, content: bytes | None, era: int = 0
) -> Item:
    """Return an item as written in `era` at `revision`."""
    return Item(key, Position(era, revision), content, written_in=era)


def create_member(
    address: str,
    state: MemberState = MemberState.ALIVE,
    incarnation: int = 1,
    **changes: Any,
) -> MemberRecord:
    """Return a record of a VM, by default alive and in data centre `near`."""
    fields = {'data_centre': 'near', **changes}
    return MemberRecord(
        address=address,
        incarnation=incarnation,
        state=state,
        **fields,
    )


def create_searcher(searcher_id: str, **changes: Any) -> Searcher:
    """Return a ready searcher of the service `shard-0`."""
    fields: dict[str, Any] = {
        'searcher_id': searcher_id,
        'service': 'shard-0',
        'address': '127.0.0.1',
        'port': 9,
        'data_centre': 'near',
        'slots': 2,
        'state': SearcherState.READY,
        'cold_left_ms': 0,
        'born': 1,
        'sequence': 1,
    }
    return Searcher(**{**fields, **changes})


def create_request(received_at: float, limit_s: float = 1) -> CallerRequest:
    """Return a request whose deadline is `limit_s` after `received_at`."""
    return CallerRequest(
        request_id='1',
        method='GET',
        target='/a/',
        host='shop.example',
        path='/a/',
        headers=(),
        body=b'',
        credential=None,
        received_at=received_at,
        deadline=received_at + limit_s,
    )


def create_route(name: str, **changes: Any) -> Route:
    """Return an idempotent route to the service `shard-0`."""
    fields: dict[str, Any] = {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'is_idempotent': True,
        'timeout_s': 1.0,
        'target_s': 0.1,
        'priority': 1,
        'attempts': 2,
        'is_public': False,
        'shares': (TrafficShare('shard-0', 1),),
        'shards': (),
    }
    return Route(**{**fields, **changes})


def create_catalogue(
    *routes: Route,
    version: int = 1,
    rate: float = 40,
    cold_rate: float = 0,
) -> Catalogue:
    """Return a catalogue with the workspace `mill` and its key `key-1`.

    `rate` is both the rate and the burst of the workspace.
    """
    services = {share.service for route in routes for share in route.shares}
    services |= {shard for route in routes for shard in route.shards}
    return Catalogue(
        version=version,
        routes_by_host={'shop.example': routes},
        services_by_name={
            name: ServiceConfig(name, 26, cold_rate) for name in services
        },
        workspaces_by_name={'mill': WorkspaceConfig('mill', None, rate, rate)},
        workspace_name_by_key={'key-1': 'mill'},
        limits=FrontLimits(),
    )
