"""Warm-up state of searchers, from control's table and this process."""

from collections.abc import Callable

from jacinthcart.feed import StateFeed, WarmEntry
from jacinthcart.telemetry import DecisionLog
from jacinthcart.warming import (
    UNKNOWN_ENTRY,
    merge_warm_entry,
    start_incident,
)


class LocalWarmTable:
    """Merges control's table with entries that this process created.

    The process keeps its own entries, so that they take effect immediately
    and are not lost when a message to control is lost.
    """

    def __init__(self, feed: StateFeed, decisions: DecisionLog) -> None:
        """Start without entries of this process."""
        self.listeners: list[Callable[[], None]] = []
        self._feed = feed
        self._decisions = decisions
        self._own_entries: dict[str, WarmEntry] = {}

    def find(self, searcher_id: str) -> WarmEntry:
        """Return the merged entry of a searcher."""
        published = self._feed.warm_by_searcher_id.get(searcher_id)
        own = self._own_entries.get(searcher_id)
        if published is None or own is None:
            return published or own or UNKNOWN_ENTRY
        return merge_warm_entry(published, own)

    def start_incident(
        self,
        searcher_id: str,
        generation: str,
        reason: str,
    ) -> None:
        """Record that the searcher instance `generation` is cold."""
        current = self.find(searcher_id)
        started = start_incident(current, generation)
        self._store_entry(searcher_id, started)
        if current != UNKNOWN_ENTRY:
            self._decisions.record(
                'searcher_set_aside',
                searcher_id,
                reason=reason,
                observation=f'generation {generation}, incident '
                f'{started.incident}',
                setting='cold_allowance',
            )

    def mark_warm(self, searcher_id: str) -> None:
        """Mark the current incident as over; only the warmer calls this."""
        current = self.find(searcher_id)
        self._store_entry(
            searcher_id,
            WarmEntry(
                current.incident, warm=True, generation=current.generation
            ),
        )

    def list_unpublished(self) -> dict[str, WarmEntry]:
        """Return entries that control's table does not reflect yet."""
        table = self._feed.warm_by_searcher_id
        return {
            searcher_id: entry
            for searcher_id, entry in self._own_entries.items()
            if table.get(searcher_id) != self.find(searcher_id)
        }

    def _store_entry(self, searcher_id: str, entry: WarmEntry) -> None:
        self._own_entries[searcher_id] = entry
        for listener in self.listeners:
            listener()
