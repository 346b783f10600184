"""Assigns the parts of a query to VMs."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

import xxhash

from jacinthcart.gather._outcomes import PartRequest
from jacinthcart.ownership import find_part_owners
from jacinthcart.settings import RouteKind, Service, SettingsView

#: Sort key of VMs that can run the same parts, the preferred one first. The
#: first element separates preferred VMs from those that are used only when no
#: other VM can run a part.
VmRank = tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Plan:
    """Assignment of parts to the VMs that run them."""

    #: Parts that this VM runs.
    local: tuple[PartRequest, ...]
    #: Parts that other VMs run, by VM.
    requests_by_vm: Mapping[str, tuple[PartRequest, ...]]
    #: Parts that no VM can run.
    unowned: tuple[PartRequest, ...]


class OwnerTable:
    """Caches the owners of parts until the settings view changes."""

    def __init__(self) -> None:
        """Start empty."""
        self._view: SettingsView | None = None
        self._owners_by_part: dict[tuple[str, str], tuple[str, ...]] = {}

    def get_owners(
        self,
        view: SettingsView,
        service_id: str,
        part: str,
    ) -> tuple[str, ...]:
        """Return the VMs that own the part's connections in this view."""
        if view is not self._view:
            self._view = view
            self._owners_by_part = {}
        key = (service_id, part)
        owners = self._owners_by_part.get(key)
        if owners is None:
            owners = _compute_owners(view, service_id, part)
            self._owners_by_part[key] = owners
        return owners


def _compute_owners(
    view: SettingsView,
    service_id: str,
    part: str,
) -> tuple[str, ...]:
    if view.roster is None:
        return ()
    service = view.services_by_id[service_id]
    return tuple(
        find_part_owners(service_id, part, service, view.roster.vms_by_id),
    )


def select_part_requests(
    kind: RouteKind,
    service: Service,
    request_id: str,
    lookup_id: str | int | None,
) -> tuple[PartRequest, ...]:
    """Return the parts and shards that a route of this kind queries.

    A submit runs on one part, selected by a hash of the request id, a lookup
    on the shard of `lookup_id`, and a search on all shards.
    """
    if kind is RouteKind.SUBMIT:
        names = sorted(service.parts_by_name)
        part = names[_hash_text(request_id) % len(names)]
        return (PartRequest(part, service.parts_by_name[part].shards),)
    if kind is RouteKind.LOOKUP:
        shard = choose_lookup_shard(service, str(lookup_id))
        return tuple(
            PartRequest(name, (shard,))
            for name, part in service.parts_by_name.items()
            if shard in part.shards
        )
    return tuple(
        PartRequest(name, part.shards)
        for name, part in service.parts_by_name.items()
    )


def choose_lookup_shard(service: Service, lookup_id: str) -> int:
    """Return the shard that contains the id, selected by a hash of it."""
    shards = sorted(
        shard
        for part in service.parts_by_name.values()
        for shard in part.shards
    )
    return shards[_hash_text(lookup_id) % len(shards)]


def plan_parts(
    requests: Iterable[PartRequest],
    owners_by_part: Mapping[str, Sequence[str]],
    own_vm: str,
    rank_vm: Callable[[str], VmRank],
) -> Plan:
    """Assign parts to this VM if it owns them, else to few other VMs.

    The other VMs are selected greedily to keep their number low: each step
    selects, among the VMs with the lowest first rank element, the one that
    owns the most remaining parts.
    """
    pending = tuple(requests)
    local = tuple(
        request for request in pending if own_vm in owners_by_part[request.part]
    )
    remote = [
        request
        for request in pending
        if own_vm not in owners_by_part[request.part]
    ]
    requests_by_vm: dict[str, tuple[PartRequest, ...]] = {}
    while remote:
        covered_by_vm = _group_by_vm(remote, owners_by_part)
        if not covered_by_vm:
            break
        chosen = _choose_vm(covered_by_vm, rank_vm)
        requests_by_vm[chosen] = covered_by_vm[chosen]
        remote = [
            request
            for request in remote
            if request not in covered_by_vm[chosen]
        ]
    return Plan(local, requests_by_vm, tuple(remote))


def _choose_vm(
    covered_by_vm: Mapping[str, tuple[PartRequest, ...]],
    rank_vm: Callable[[str], VmRank],
) -> str:
    def preference(vm_id: str) -> tuple[float, int, VmRank, str]:
        rank = rank_vm(vm_id)
        return (rank[0], -len(covered_by_vm[vm_id]), rank[1:], vm_id)

    return min(covered_by_vm, key=preference)


def _group_by_vm(
    requests: Iterable[PartRequest],
    owners_by_part: Mapping[str, Sequence[str]],
) -> dict[str, tuple[PartRequest, ...]]:
    requests_by_vm: dict[str, tuple[PartRequest, ...]] = {}
    for request in requests:
        for vm_id in owners_by_part[request.part]:
            requests_by_vm[vm_id] = (*requests_by_vm.get(vm_id, ()), request)
    return requests_by_vm


def _hash_text(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
