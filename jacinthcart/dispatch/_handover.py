"""Delay before ownership gained by a settings revision takes effect."""

from jacinthcart.dispatch._replicas import ReplicaIndex
from jacinthcart.feed import StateFeed


class HandoverTracker:
    """Tracks when this VM became the owner or the warmer of each searcher.

    A process that starts knows only the current roster, so it uses no
    searcher until that roster is known to have been in force for
    `handover_seconds`. A searcher added later has no previous owner and
    needs no delay.
    """

    def __init__(self, feed: StateFeed) -> None:
        """Start without replicas."""
        self._feed = feed
        self._owned_by_id: dict[str, bool] = {}
        self._warmed_by_id: dict[str, bool] = {}
        self._owner_since: dict[str, float] = {}
        self._warmer_since: dict[str, float] = {}

    def update(self, index: ReplicaIndex) -> None:
        """Apply the ownership of a new settings view."""
        now = self._feed.clock()
        for searcher_id, replica in index.replicas_by_id.items():
            if self._owned_by_id.get(searcher_id) is False:
                if replica.is_owner:
                    self._owner_since[searcher_id] = now
            if self._warmed_by_id.get(searcher_id) is False:
                if replica.is_warmer:
                    self._warmer_since[searcher_id] = now
            self._owned_by_id[searcher_id] = replica.is_owner
            self._warmed_by_id[searcher_id] = replica.is_warmer

    def may_own(self, searcher_id: str) -> bool:
        """Return whether the handover delay of connections has elapsed."""
        return self._has_elapsed(self._owner_since.get(searcher_id))

    def may_warm(self, searcher_id: str) -> bool:
        """Return whether the handover delay of warming has elapsed."""
        return self._has_elapsed(self._warmer_since.get(searcher_id))

    def _has_elapsed(self, gained_at: float | None) -> bool:
        since = self._feed.roster_since
        if gained_at is not None:
            since = max(since, gained_at)
        wait_s = self._feed.view.policy.handover_seconds
        return self._feed.clock() - since >= wait_s
