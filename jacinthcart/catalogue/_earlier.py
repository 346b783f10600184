"""Entries of processes that began before the known one of their searcher."""

import dataclasses

from jacinthcart.catalogue._types import Searcher
from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class _EarlierEntry:
    """Last entry of an earlier process."""

    searcher: Searcher
    #: Clock time in seconds of the first entry of the process.
    since: float


class EarlierEntries:
    """Entries that are used only if they stay the last of their searcher.

    Such an entry is either an old one, which the live process replaces soon,
    or that of a process that started after its clock was set back.
    """

    def __init__(self, clock: Clock, delay_s: float) -> None:
        """Create without entries; each is due after `delay_s` seconds."""
        self._clock = clock
        self._delay_s = delay_s
        self._entry_by_id: dict[str, _EarlierEntry] = {}

    def put(self, searcher: Searcher) -> None:
        """Keep an entry unless a later one of the same process is kept."""
        since = self._clock()
        kept = self._entry_by_id.get(searcher.searcher_id)
        if kept is not None and kept.searcher.born == searcher.born:
            if searcher.sequence < kept.searcher.sequence:
                return
            since = kept.since
        self._entry_by_id[searcher.searcher_id] = _EarlierEntry(searcher, since)

    def discard(self, searcher_id: str) -> None:
        """Drop the entry of a searcher, if any."""
        self._entry_by_id.pop(searcher_id, None)

    def list_due(self) -> list[Searcher]:
        """Return the entries that have been the last ones for long enough."""
        before = self._clock() - self._delay_s
        return [
            entry.searcher
            for entry in self._entry_by_id.values()
            if entry.since <= before
        ]
