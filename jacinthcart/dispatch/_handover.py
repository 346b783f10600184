"""The wait before a right gained by a settings revision is used."""

from jacinthcart.dispatch._replicas import ReplicaIndex
from jacinthcart.feed import StateFeed


class HandoverTracker:
    """Remembers when this VM gained the rights to each searcher.

    A process that starts sees only the present roster: none of its rights is
    used before that roster is known to be in force for `handover_seconds`.
    Rights to searchers that are new later have no former holder.
    """

    def __init__(self, feed: StateFeed) -> None:
        """Start without a view."""
        self._feed = feed
        self._owned_by_id: dict[str, bool] = {}
        self._warmed_by_id: dict[str, bool] = {}
        self._owner_since: dict[str, float] = {}
        self._warmer_since: dict[str, float] = {}

    def update(self, index: ReplicaIndex) -> None:
        """Take a new view's rights."""
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
        """Return whether the wait for connections is over."""
        return self._has_elapsed(self._owner_since.get(searcher_id))

    def may_warm(self, searcher_id: str) -> bool:
        """Return whether the wait for warming is over."""
        return self._has_elapsed(self._warmer_since.get(searcher_id))

    def _has_elapsed(self, gained_at: float | None) -> bool:
        since = self._feed.roster_since
        if gained_at is not None:
            since = max(since, gained_at)
        wait_s = self._feed.view.policy.handover_seconds
        return self._feed.clock() - since >= wait_s
