"""Conflict-free merging of warm table entries from different VMs.

An incident is one occasion on which a searcher became cold or must be assumed
cold, for instance after a restart. The incidents of a searcher are numbered.
"""

from collections.abc import Mapping

from jacinthcart.feed import WarmEntry

#: Entry of a searcher that the table does not contain.
UNKNOWN_ENTRY = WarmEntry(incident=0, warm=False, generation='')

#: Replaces two different generations of one incident. It equals no
#: searcher's generation, so the next response starts a new incident.
_NO_GENERATION = ''


def merge_warm_entry(local: WarmEntry, remote: WarmEntry) -> WarmEntry:
    """Merge two entries of the same searcher.

    The higher incident wins. Within one incident, equal generations merge to
    warm if either entry is warm, and different generations merge to not
    warm. The operation is commutative, associative and idempotent, so the
    order and number of exchanged messages do not matter.
    """
    if local.incident != remote.incident:
        return max(local, remote, key=_get_incident)
    if local.generation != remote.generation:
        return WarmEntry(local.incident, warm=False, generation=_NO_GENERATION)
    return WarmEntry(
        local.incident,
        warm=local.warm or remote.warm,
        generation=local.generation,
    )


def merge_warm_entries(
    local: Mapping[str, WarmEntry],
    remote: Mapping[str, WarmEntry],
) -> dict[str, WarmEntry]:
    """Merge two tables by searcher id."""
    merged = dict(local)
    for searcher_id, entry in remote.items():
        known = merged.get(searcher_id)
        merged[searcher_id] = (
            entry if known is None else merge_warm_entry(known, entry)
        )
    return merged


def start_incident(known: WarmEntry, generation: str) -> WarmEntry:
    """Return the entry of a new incident in which `generation` is cold."""
    return WarmEntry(known.incident + 1, warm=False, generation=generation)


def _get_incident(entry: WarmEntry) -> int:
    return entry.incident
