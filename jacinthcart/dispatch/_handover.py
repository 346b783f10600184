"""Delay before ownership gained by a settings revision takes effect."""

from jacinthcart.dispatch._replicas import ReplicaIndex
from jacinthcart.feed import StateFeed


class HandoverTracker:
    """Tracks when this VM became the owner or the warmer of each searcher.

    Another VM that has not applied the new revision yet may still send as
    the previous owner or warmer, so this VM waits for `handover_seconds`. A
    process that starts does not know the previous roster, so it uses no
    searcher until the current roster is known to have been in force for that
    time. A searcher added later has no previous owner and needs no delay.
    """

    def __init__(self, feed: StateFeed) -> None:
        """Start without replicas."""
        self._feed = feed
        self._was_owner_by_id: dict[str, bool] = {}
        self._was_warmer_by_id: dict[str, bool] = {}
        self._owner_since_by_id: dict[str, float] = {}
        self._warmer_since_by_id: dict[str, float] = {}

    def update(self, index: ReplicaIndex) -> None:
        """Apply the ownership of a new settings view."""
        now = self._feed.clock()
        for searcher_id, replica in index.replicas_by_id.items():
            if self._was_owner_by_id.get(searcher_id) is False:
                if replica.is_owner:
                    self._owner_since_by_id[searcher_id] = now
            if self._was_warmer_by_id.get(searcher_id) is False:
                if replica.is_warmer:
                    self._warmer_since_by_id[searcher_id] = now
            self._was_owner_by_id[searcher_id] = replica.is_owner
            self._was_warmer_by_id[searcher_id] = replica.is_warmer

    def may_own(self, searcher_id: str) -> bool:
        """Return whether the delay after this VM became owner has elapsed."""
        return self._has_elapsed(self._owner_since_by_id.get(searcher_id))

    def may_warm(self, searcher_id: str) -> bool:
        """Return whether the delay after this VM became warmer has elapsed."""
        return self._has_elapsed(self._warmer_since_by_id.get(searcher_id))

    def _has_elapsed(self, gained_at: float | None) -> bool:
        since = self._feed.roster_since
        if gained_at is not None:
            since = max(since, gained_at)
        wait_s = self._feed.view.policy.handover_seconds
        return self._feed.clock() - since >= wait_s
