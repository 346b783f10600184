"""Which VMs run the parts of a query."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

import xxhash

from jacinthcart.gather._outcomes import PartWork
from jacinthcart.ownership import find_part_owners
from jacinthcart.settings import RouteKind, Service, SettingsView

#: Sorts VMs that can run the same parts, the preferred one first; the first
#: figure separates VMs to use from those to use only if no other can.
VmRank = tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Plan:
    """Parts by the VM that runs them."""

    #: Parts that this VM runs.
    local: tuple[PartWork, ...]
    #: Parts by other VM.
    works_by_vm: Mapping[str, tuple[PartWork, ...]]
    #: Parts that no VM can run.
    unowned: tuple[PartWork, ...]


class OwnerTable:
    """Owners of parts, computed once for each service and view."""

    def __init__(self) -> None:
        """Start empty."""
        self._view: SettingsView | None = None
        self._owners_by_part: dict[tuple[str, str], tuple[str, ...]] = {}

    def find_owners(
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


def select_works(
    kind: RouteKind,
    service: Service,
    request_id: str,
    query_id: str | int | None,
) -> tuple[PartWork, ...]:
    """Return the parts and shards that a route of this kind asks."""
    if kind is RouteKind.SUBMIT:
        names = sorted(service.parts_by_name)
        part = names[_hash_text(request_id) % len(names)]
        return (PartWork(part, service.parts_by_name[part].shards),)
    if kind is RouteKind.LOOKUP:
        shard = choose_lookup_shard(service, str(query_id))
        return tuple(
            PartWork(name, (shard,))
            for name, part in service.parts_by_name.items()
            if shard in part.shards
        )
    return tuple(
        PartWork(name, part.shards)
        for name, part in service.parts_by_name.items()
    )


def choose_lookup_shard(service: Service, query_id: str) -> int:
    """Return the shard that holds an id, by hash over all shards."""
    shards = sorted(
        shard
        for part in service.parts_by_name.values()
        for shard in part.shards
    )
    return shards[_hash_text(query_id) % len(shards)]


def plan_parts(
    works: Iterable[PartWork],
    owners_by_part: Mapping[str, Sequence[str]],
    own_vm: str,
    rank_vm: Callable[[str], VmRank],
) -> Plan:
    """Give parts to this VM where it owns them, else to the fewest others.

    The fewest others are found greedily: each step takes the VM of the best
    class that covers the most of the remaining parts.
    """
    asked = tuple(works)
    local = tuple(work for work in asked if own_vm in owners_by_part[work.part])
    remote = [work for work in asked if own_vm not in owners_by_part[work.part]]
    works_by_vm: dict[str, tuple[PartWork, ...]] = {}
    while remote:
        covered_by_vm = _group_by_vm(remote, owners_by_part)
        if not covered_by_vm:
            break
        chosen = _choose_vm(covered_by_vm, rank_vm)
        works_by_vm[chosen] = covered_by_vm[chosen]
        remote = [work for work in remote if work not in covered_by_vm[chosen]]
    return Plan(local, works_by_vm, tuple(remote))


def _choose_vm(
    covered_by_vm: Mapping[str, tuple[PartWork, ...]],
    rank_vm: Callable[[str], VmRank],
) -> str:
    def preference(vm_id: str) -> tuple[float, int, VmRank, str]:
        rank = rank_vm(vm_id)
        return (rank[0], -len(covered_by_vm[vm_id]), rank[1:], vm_id)

    return min(covered_by_vm, key=preference)


def _group_by_vm(
    works: Iterable[PartWork],
    owners_by_part: Mapping[str, Sequence[str]],
) -> dict[str, tuple[PartWork, ...]]:
    works_by_vm: dict[str, tuple[PartWork, ...]] = {}
    for work in works:
        for vm_id in owners_by_part[work.part]:
            works_by_vm[vm_id] = (*works_by_vm.get(vm_id, ()), work)
    return works_by_vm


def _hash_text(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
