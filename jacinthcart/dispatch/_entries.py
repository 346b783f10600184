"""Warm table entries: control's and those that this VM made itself."""

from collections.abc import Callable

from jacinthcart.feed import StateFeed, WarmEntry
from jacinthcart.telemetry import DecisionLog
from jacinthcart.warming import (
    UNKNOWN_ENTRY,
    merge_warm_entry,
    start_incident,
)


class EntryBook:
    """Merges control's table with own entries.

    Own entries are kept, so that evidence counts at once and is not lost
    with a message to control.
    """

    def __init__(self, feed: StateFeed, decisions: DecisionLog) -> None:
        """Start without own entries."""
        self.listeners: list[Callable[[], None]] = []
        self._feed = feed
        self._decisions = decisions
        self._own_entries: dict[str, WarmEntry] = {}

    def find(self, searcher_id: str) -> WarmEntry:
        """Return what is known about a searcher's warmth."""
        known = self._feed.warm_by_searcher_id.get(searcher_id)
        own = self._own_entries.get(searcher_id)
        if known is None or own is None:
            return known or own or UNKNOWN_ENTRY
        return merge_warm_entry(known, own)

    def raise_incident(
        self,
        searcher_id: str,
        generation: str,
        reason: str,
    ) -> None:
        """Take evidence that a searcher's run is cold."""
        known = self.find(searcher_id)
        raised = start_incident(known, generation)
        self._keep(searcher_id, raised)
        if known != UNKNOWN_ENTRY:
            self._decisions.record(
                'searcher_set_aside',
                searcher_id,
                reason=reason,
                observation=f'generation {generation}, incident '
                f'{raised.incident}',
                setting='cold_allowance',
            )

    def announce_warm(self, searcher_id: str) -> None:
        """Mark the current incident as over; only the warmer may do so."""
        known = self.find(searcher_id)
        self._keep(
            searcher_id,
            WarmEntry(known.incident, warm=True, generation=known.generation),
        )

    def list_unknown_to_control(self) -> dict[str, WarmEntry]:
        """Return own entries that control's table does not reflect yet."""
        table = self._feed.warm_by_searcher_id
        return {
            searcher_id: entry
            for searcher_id, entry in self._own_entries.items()
            if table.get(searcher_id) != self.find(searcher_id)
        }

    def _keep(self, searcher_id: str, entry: WarmEntry) -> None:
        self._own_entries[searcher_id] = entry
        for listener in self.listeners:
            listener()
