"""Index of each part's replicas in the settings in force."""

import dataclasses
import itertools
from collections.abc import Iterator, Mapping

from jacinthcart.ownership import (
    find_part_owners,
    find_warmer,
    qualify_searcher,
)
from jacinthcart.settings import (
    Searcher,
    SearcherState,
    Service,
    SettingsView,
)

PartKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Replica:
    """One searcher of a part."""

    #: Searcher id, qualified by its service.
    searcher_id: str
    service_id: str
    part: str
    #: The service's settings.
    service: Service
    #: The searcher's settings.
    searcher: Searcher
    #: Whether this VM owns connections to the searcher.
    is_owner: bool
    #: Whether this VM may send to the searcher while it is cold.
    is_warmer: bool
    #: Whether the searcher is active and its data centre is `in`.
    is_in_service: bool

    @property
    def max_concurrency(self) -> int:
        """Maximum number of concurrent requests from this VM."""
        return min(self.service.slots, self.service.connections_per_owner)


@dataclasses.dataclass(frozen=True)
class ReplicaIndex:
    """All replicas of one settings view."""

    #: Replicas by service id and part name.
    replicas_by_part: Mapping[PartKey, tuple[Replica, ...]]
    replicas_by_id: Mapping[str, Replica]
    #: Replicas that this VM owns connections to.
    owned: tuple[Replica, ...]


def build_replica_index(view: SettingsView, vm_id: str) -> ReplicaIndex:
    """Return all replicas with the ownership of VM `vm_id`."""
    replicas_by_part = {
        (service_id, part): tuple(_list_part(view, vm_id, service_id, part))
        for service_id, service in view.services_by_id.items()
        for part in service.parts_by_name
    }
    replicas = list(itertools.chain.from_iterable(replicas_by_part.values()))
    return ReplicaIndex(
        replicas_by_part,
        {replica.searcher_id: replica for replica in replicas},
        tuple(replica for replica in replicas if replica.is_owner),
    )


def _list_part(
    view: SettingsView,
    vm_id: str,
    service_id: str,
    part: str,
) -> Iterator[Replica]:
    service = view.services_by_id[service_id]
    vm_ids = view.roster.vms_by_id if view.roster else ()
    owners = find_part_owners(service_id, part, service, vm_ids)
    searchers = service.parts_by_name[part].searchers_by_id
    for name, searcher in searchers.items():
        searcher_id = qualify_searcher(service_id, name)
        is_owner = vm_id in owners
        yield Replica(
            searcher_id,
            service_id,
            part,
            service,
            searcher,
            is_owner=is_owner,
            is_warmer=is_owner and find_warmer(searcher_id, owners) == vm_id,
            is_in_service=(
                searcher.state is SearcherState.ACTIVE
                and view.is_data_centre_in(searcher.data_centre)
            ),
        )
