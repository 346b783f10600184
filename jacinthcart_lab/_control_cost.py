"""Cost of one control process by roster size.

Only some VMs of the roster run: the measured one and the control processes of
its heartbeat peers. The number of peers of a control process is
`heartbeat_peers` at any roster size, so the measured process handles the same
messages as in a complete fleet.
"""

import pathlib
import time
from typing import Any

import httpx

from jacinthcart.membership import select_peers
from jacinthcart_lab._deployment import (
    RouteSpec,
    ServiceSpec,
    TeamSpec,
)
from jacinthcart_lab._fleet import ADMIN_KEY, Fleet, VmProcesses
from jacinthcart_lab._slopes import ROSTER_SIZES, SlopePoint

_MEASURED_VM = 'vm-1'
_HEARTBEAT_PEERS = 8
#: Ratio at the largest measured sizes: 2200 searchers and 530 VMs.
_SEARCHERS_PER_VM = 2200 / 530
_REPLICAS = 4
_SETTLE_S = 12
_MEASURE_S = 20
_TIMEOUT_S = 10
_COST_FIELDS = ('cpu_share', 'resident_bytes', 'datagram_bytes_per_s')


def measure_control_costs(
    folder: pathlib.Path,
    sizes: tuple[int, ...] = ROSTER_SIZES,
) -> list[SlopePoint]:
    """Return CPU share, memory in bytes and traffic in bytes/s of control.

    There is one point of each for every roster size.
    """
    points: list[SlopePoint] = []
    for size in sizes:
        cost = _measure(folder / str(size), size)
        points.extend(
            SlopePoint(f'control {name}', 'VMs in the roster', size, cost[name])
            for name in (*_COST_FIELDS, 'http_body_bytes_per_s')
        )
    return points


def _measure(folder: pathlib.Path, size: int) -> dict[str, float]:
    fleet = Fleet(folder, (_build_team(size),), size)
    # The settings name the searchers, but they do not have to run.
    fleet.searcher_specs.clear()
    try:
        fleet.start([_MEASURED_VM])
        for vm_id in _choose_peers(fleet):
            fleet.start_vm(vm_id, ('control',))
        time.sleep(_SETTLE_S + _MEASURE_S)
        status = _read_status(fleet.vms_by_id[_MEASURED_VM])
    finally:
        fleet.close()
    return dict(status['cost'])


def _choose_peers(fleet: Fleet) -> list[str]:
    """Return the measured VM's heartbeat peers in both directions."""
    roster = list(fleet.vms_by_id)
    peers = select_peers(_MEASURED_VM, roster, _HEARTBEAT_PEERS)
    senders = [
        vm_id
        for vm_id in roster
        if _MEASURED_VM in select_peers(vm_id, roster, _HEARTBEAT_PEERS)
    ]
    return list(dict.fromkeys([*peers, *senders]))


def _build_team(vm_count: int) -> TeamSpec:
    parts = max(1, round(vm_count * _SEARCHERS_PER_VM / _REPLICAS))
    return TeamSpec(
        name='bench',
        data_centres=tuple(f'dc-{number}' for number in range(9)),
        services=(ServiceSpec('index', parts, _REPLICAS, 6, 25, 1, 2),),
        routes=(RouteSpec('search', 'search', 'index', 'priority'),),
        limits_by_workspace={'one': (100.0, 100.0)},
    )


def _read_status(vm: VmProcesses) -> dict[str, Any]:
    response = httpx.get(
        f'{vm.admin_url}/admin/v1/status',
        headers={'authorization': f'Bearer {ADMIN_KEY}'},
        timeout=_TIMEOUT_S,
    )
    return dict(response.raise_for_status().json())
