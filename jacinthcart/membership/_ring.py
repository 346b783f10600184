"""Selects the VMs that a VM sends heartbeats to."""

import bisect
from collections.abc import Iterable


def select_peers(
    vm_id: str,
    roster_ids: Iterable[str],
    count: int,
) -> list[str]:
    """Return at most `count` ring successors of a VM.

    The distances grow geometrically (1, 2, 5, 10, ... for 530 VMs and a
    count of 8). With only the 8 nearest successors, an update would need N/8
    hops around a ring of N VMs; with these distances it needs about `count`
    hops. In a roster of at most count + 1 VMs all other VMs are selected.
    """
    others = sorted(set(roster_ids) - {vm_id})
    start = bisect.bisect(others, vm_id)
    return [
        others[(start + distance - 1) % len(others)]
        for distance in _compute_distances(len(others), count)
    ]


def _compute_distances(other_count: int, count: int) -> list[int]:
    if other_count <= count:
        return list(range(1, other_count + 1))
    distances: list[int] = []
    for step in range(count):
        wanted = round((other_count + 1) ** (step / count))
        lowest = distances[-1] + 1 if distances else 1
        distances.append(max(wanted, lowest))
    return distances
