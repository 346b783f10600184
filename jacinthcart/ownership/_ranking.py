"""Rendezvous hashing over the roster's VM ids."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from jacinthcart.settings import Service

#: Usable fraction of a searcher's connections; the rest is kept free for
#: roster changes.
USED_CONNECTION_FRACTION = 0.5


def rank_owners(key: str, vm_ids: Iterable[str], count: int) -> list[str]:
    """Return the `count` highest-ranked VM ids for `key`.

    Every process with the same roster gets the same list. Removing a VM
    only changes the owners of the keys that it owned.
    """
    ranked = sorted(
        vm_ids,
        key=lambda vm_id: (
            xxhash.xxh64_intdigest(f'{key}|{vm_id}'.encode()),
            vm_id,
        ),
        reverse=True,
    )
    return ranked[:count]


def count_connection_owners(service: Service, vm_count: int) -> int:
    """Return the number of VMs that connect to each searcher, at least 1.

    It is limited by the usable connections of a searcher.
    """
    usable = service.connection_limit * USED_CONNECTION_FRACTION
    owners = int(usable // service.connections_per_owner)
    return max(1, min(vm_count, owners))


def find_part_owners(
    service_id: str,
    part: str,
    service: Service,
    vm_ids: Iterable[str],
) -> list[str]:
    """Return the VMs that own connections to the searchers of a part.

    A part consists of shards and the searchers that are replicas of them.
    """
    all_vm_ids = list(vm_ids)
    count = count_connection_owners(service, len(all_vm_ids))
    return rank_owners(f'part/{service_id}/{part}', all_vm_ids, count)


def qualify_searcher(service_id: str, searcher_id: str) -> str:
    """Return an id for the searcher that is unique across all teams.

    Searcher ids are only unique within a service, and the settings of one
    team must not affect the warm-up state of another team's searchers.
    """
    return f'{service_id}/{searcher_id}'


def find_warmer(searcher_id: str, part_owners: Iterable[str]) -> str:
    """Return the only VM that may send to the searcher while it is cold."""
    return rank_owners(f'warm/{searcher_id}', part_owners, 1)[0]


def find_token_owners(
    workspace_id: str,
    vm_ids: Iterable[str],
    share_spread: int,
) -> list[str]:
    """Return the VMs that own equal shares of a workspace's rate limit."""
    return rank_owners(f'tokens/{workspace_id}', vm_ids, share_spread)
