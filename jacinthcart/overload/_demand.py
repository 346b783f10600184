"""The routes that currently compete for the same searchers."""

import dataclasses

from jacinthcart.catalogue import Route
from jacinthcart.program import Clock

#: Seconds without a query after which a route no longer counts as competing.
_ACTIVE_S = 10.0


@dataclasses.dataclass(frozen=True)
class QueryKind:
    """What the queries of one route and priority have in common."""

    route: Route
    #: Priority; 0 is the most urgent.
    priority: int
    #: Number of parts that may be missing in an answer.
    optional_parts: int

    @property
    def decisive_quantile(self) -> float:
        """Return the quantile of the parts that completes an answer.

        An answer is complete with its slowest required part.
        """
        shards = len(self.route.shards)
        return 1 - (self.optional_parts + 0.5) / shards


class DemandTracker:
    """Routes and priorities of recent queries, by their sets of shards.

    A configuration may hold many routes over the same shards that nobody
    uses; they must not restrict the routes in use.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without queries."""
        self._clock = clock
        self._last_at_by_shards: dict[
            tuple[str, ...], dict[QueryKind, float]
        ] = {}

    def record(self, kind: QueryKind) -> None:
        """Record a query."""
        now = self._clock()
        shards = kind.route.shards
        if kind not in self._last_at_by_shards.get(shards, {}):
            self._remove_inactive(now)
        self._last_at_by_shards.setdefault(shards, {})[kind] = now

    def list_competing(self, shards: tuple[str, ...]) -> list[QueryKind]:
        """Return the kinds of the recent queries over the same shards."""
        oldest = self._clock() - _ACTIVE_S
        last_at = self._last_at_by_shards.get(shards, {})
        return [kind for kind, at in last_at.items() if at >= oldest]

    def _remove_inactive(self, now: float) -> None:
        oldest = now - _ACTIVE_S
        for shards, last_at in list(self._last_at_by_shards.items()):
            inactive = [kind for kind, at in last_at.items() if at < oldest]
            for kind in inactive:
                last_at.pop(kind)
            if not last_at:
                self._last_at_by_shards.pop(shards)
