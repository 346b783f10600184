"""Merging of warm table entries that VMs learned independently."""

from collections.abc import Mapping

from jacinthcart.feed import WarmEntry

#: Stands for a searcher without an entry.
UNKNOWN_ENTRY = WarmEntry(incident=0, warm=False, generation='')

#: Replaces two contradicting generations of one incident. It equals no
#: generation of a searcher, so the next response raises the incident.
_NO_GENERATION = ''


def merge_warm_entry(mine: WarmEntry, theirs: WarmEntry) -> WarmEntry:
    """Return the entry that two VMs agree on.

    The higher incident wins. Within one incident, warm wins for one
    generation, and two different generations are not warm. The operation
    is commutative, associative and idempotent, so the order and number of
    exchanged messages do not matter.
    """
    if mine.incident != theirs.incident:
        return max(mine, theirs, key=_read_incident)
    if mine.generation != theirs.generation:
        return WarmEntry(mine.incident, warm=False, generation=_NO_GENERATION)
    return WarmEntry(
        mine.incident,
        warm=mine.warm or theirs.warm,
        generation=mine.generation,
    )


def merge_warm_entries(
    mine: Mapping[str, WarmEntry],
    theirs: Mapping[str, WarmEntry],
) -> dict[str, WarmEntry]:
    """Merge two tables by searcher id."""
    merged = dict(mine)
    for searcher_id, entry in theirs.items():
        known = merged.get(searcher_id)
        merged[searcher_id] = (
            entry if known is None else merge_warm_entry(known, entry)
        )
    return merged


def start_incident(known: WarmEntry, generation: str) -> WarmEntry:
    """Return the entry after evidence that `generation` is cold."""
    return WarmEntry(known.incident + 1, warm=False, generation=generation)


def _read_incident(entry: WarmEntry) -> int:
    return entry.incident
