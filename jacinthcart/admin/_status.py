"""Tables printed by `jacinthcart status`."""

import collections
from collections.abc import Iterator, Mapping
from typing import Any

from jacinthcart.admin._output import TableData


def create_status_tables(answers: Mapping[str, Any]) -> list[TableData]:
    """Return the non-empty tables for the answers of these VMs."""
    tables = [
        TableData(
            'VMs',
            (
                'VM',
                'revision',
                'ready',
                'leaving',
                'lease ms',
                'reason',
                'service age s',
                'entry s',
                'gather s',
                'CPU %',
                'MB',
                'KB/s',
            ),
            [_list_vm_cells(vm_id, vm) for vm_id, vm in answers.items()],
        ),
        TableData(
            'Units with errors',
            ('VM', 'path', 'rule'),
            [
                (vm_id, error['path'], error['rule'])
                for vm_id, vm in answers.items()
                for error in vm['errors']
            ],
        ),
        TableData(
            'Members seen',
            ('VM', 'member', 'age s', 'revision', 'ready', 'leaving'),
            list(_list_members(answers)),
        ),
        TableData(
            'Limits held by these VMs together, in tokens',
            (
                'workspace',
                'share',
                'rate',
                'level',
                'capacity',
                'borrowed',
                'lent',
            ),
            _list_limits(answers),
        ),
        TableData(
            'Searchers set aside',
            ('VM', 'searcher', 'reason'),
            [
                (vm_id, searcher_id, reason)
                for vm_id, vm in answers.items()
                for searcher_id, reason in vm['set_aside'].items()
            ],
        ),
    ]
    return [table for table in tables if table.rows]


def _list_vm_cells(vm_id: str, vm: Mapping[str, Any]) -> list[object]:
    serving = vm['serving']
    ages = vm['neighbour_age_s']
    cost = vm['cost']
    traffic = cost['datagram_bytes_per_s'] + cost['http_body_bytes_per_s']
    return [
        vm_id,
        vm['revision'],
        vm['ready'],
        vm['leaving'],
        serving['lease_ms'],
        serving['start_waits_for'] or serving['reason'],
        serving['service_age_s'],
        ages['entry'],
        ages['gather'],
        cost['cpu_share'] * 100,
        cost['resident_bytes'] / 1e6,
        traffic / 1e3,
    ]


def _list_members(answers: Mapping[str, Any]) -> Iterator[list[object]]:
    for vm_id, vm in answers.items():
        for member_id, member in sorted(vm['members'].items()):
            yield [
                vm_id,
                member_id,
                member['age_s'],
                member['revision'],
                member['ready'],
                member['leaving'],
            ]


def _list_limits(answers: Mapping[str, Any]) -> list[list[object]]:
    """Return the sums over all VMs for each workspace."""
    totals: dict[str, collections.Counter[str]] = {}
    for vm in answers.values():
        for workspace_id, limit in vm['limits'].items():
            total = totals.setdefault(workspace_id, collections.Counter())
            total.update(limit)
    columns = ('share', 'own_rate', 'level', 'own_capacity', 'borrowed', 'lent')
    return [
        [name, *(total[column] for column in columns)]
        for name, total in sorted(totals.items())
    ]
