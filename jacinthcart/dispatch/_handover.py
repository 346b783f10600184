"""The wait before a right gained by a settings revision is used."""

from jacinthcart.dispatch._replicas import ReplicaIndex


class HandoverTracker:
    """Remembers when this VM gained the rights to each searcher.

    Rights that the first view already grants, and rights to searchers that
    are new, have no former holder and need no wait.
    """

    def __init__(self) -> None:
        """Start without a view."""
        self._owned_by_id: dict[str, bool] = {}
        self._warmed_by_id: dict[str, bool] = {}
        self._owner_since: dict[str, float] = {}
        self._warmer_since: dict[str, float] = {}

    def update(self, index: ReplicaIndex, now: float) -> None:
        """Take a new view's rights."""
        for searcher_id, replica in index.replicas_by_id.items():
            if self._owned_by_id.get(searcher_id) is False:
                if replica.is_owner:
                    self._owner_since[searcher_id] = now
            if self._warmed_by_id.get(searcher_id) is False:
                if replica.is_warmer:
                    self._warmer_since[searcher_id] = now
            self._owned_by_id[searcher_id] = replica.is_owner
            self._warmed_by_id[searcher_id] = replica.is_warmer

    def may_own(self, searcher_id: str, now: float, wait_s: float) -> bool:
        """Return whether the wait for connections is over."""
        since = self._owner_since.get(searcher_id)
        return since is None or now - since >= wait_s

    def may_warm(self, searcher_id: str, now: float, wait_s: float) -> bool:
        """Return whether the wait for warming is over."""
        since = self._warmer_since.get(searcher_id)
        return since is None or now - since >= wait_s
