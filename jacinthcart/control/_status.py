"""Status report of one VM for operators."""

from typing import Any

from jacinthcart.control._node import ControlNode
from jacinthcart.control._resource_usage import ResourceUsage

#: Reasons that are not reported. A VM never sends to searchers of parts that
#: other VMs own.
_NOT_SET_ASIDE = frozenset(('', 'not_owner'))


def describe_status(
    node: ControlNode,
    usage: ResourceUsage,
    reports: dict[str, dict[str, Any]],
) -> dict[str, Any]:
    """Return the state and resource usage of the VM; ages in seconds."""
    store = node.state.store
    return {
        'vm': node.process.vm_id,
        'incarnation': node.state.incarnation,
        'revision': store.revision,
        'errors': [
            {'path': error.path, 'rule': error.rule} for error in store.errors
        ],
        'ignored_stale_changes': store.ignored_stale_changes,
        'leaving': node.state.is_leaving,
        'ready': node.is_ready,
        'serving': describe_serving(node),
        'members': describe_members(node),
        'neighbour_age_s': node.local_processes.list_ages(),
        'limits': node.dependencies.permits.describe(),
        'set_aside': find_set_aside(reports.get('gather', {})),
        'cost': usage.describe(),
    }


def describe_path(node: ControlNode, path: str) -> dict[str, int | None]:
    """Return the revisions of one path, or None where it has no value.

    `newest` is the newest revision known to this VM; `in_force` is lower
    while the unit that contains the path has errors.
    """
    store = node.state.store
    newest = store.export_after(0).get(path)
    in_force = store.export_in_force().get(path)
    return {
        'newest': newest.revision if newest else None,
        'in_force': in_force.revision if in_force else None,
    }


def describe_serving(node: ControlNode) -> dict[str, Any]:
    """Return whether leases are granted and why, or why not."""
    return {
        'lease_ms': node.lease_ms,
        'start_waits_for': node.gate.blocker,
        'current': node.freshness.is_current,
        'reason': str(node.freshness.reason),
        'service_age_s': node.freshness.service_age_s,
        'confirmed_age_s': node.freshness.list_ages(),
    }


def describe_members(node: ControlNode) -> dict[str, dict[str, Any]]:
    """Return the known members, with the seconds since their last message."""
    now = node.dependencies.clock()
    return {
        vm_id: {
            'age_s': now - member.last_seen_at,
            'incarnation': member.state.incarnation,
            'revision': member.state.revision,
            'leaving': member.state.leaving,
            'ready': member.state.ready,
        }
        for vm_id, member in node.heartbeats.members_by_vm.items()
    }


def find_set_aside(gather_report: dict[str, Any]) -> dict[str, str]:
    """Return the reason by id of each searcher that this VM avoids.

    A failing searcher still receives requests while no usable searcher is
    healthy; one with any other reason receives none.
    """
    reason_by_searcher = {}
    for searcher_id, link in gather_report.get('dispatcher', {}).items():
        reason = link['set_aside']
        if not reason and link['is_failing']:
            reason = 'failing'
        if reason not in _NOT_SET_ASIDE:
            reason_by_searcher[searcher_id] = reason
    return reason_by_searcher
