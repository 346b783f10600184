"""Per-route quantiles over the most recent durations."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class QuantileParameters:
    """Window size and update interval of quantiles, in durations."""

    #: Number of most recent durations in the window.
    window_size: int = 300
    #: Minimum number of durations for a meaningful quantile.
    min_count: int = 20
    #: Number of added durations after which the window is sorted again, so
    #: that quantiles include them.
    refresh_count: int = 25


class _Window:
    """Most recent durations of one route."""

    def __init__(self, window_size: int) -> None:
        """Create an empty window."""
        self.durations_s: collections.deque[float] = collections.deque(
            maxlen=window_size,
        )
        self.sorted_s: list[float] = []
        #: Durations added since the window was last sorted.
        self.added = 0


class QuantileTracker:
    """Tracks quantiles of the most recent durations of each route."""

    def __init__(self, params: QuantileParameters | None = None) -> None:
        """Create a tracker without durations."""
        self._params = params or QuantileParameters()
        self._window_by_route: dict[str, _Window] = {}

    def add(self, route: str, duration_s: float) -> None:
        """Add a duration in seconds."""
        window = self._window_by_route.get(route)
        if window is None:
            window = _Window(self._params.window_size)
            self._window_by_route[route] = window
        window.durations_s.append(duration_s)
        window.added += 1
        if window.added >= self._params.refresh_count or not window.sorted_s:
            window.added = 0
            window.sorted_s = sorted(window.durations_s)

    def quantile_s(
        self, route: str, quantile: float, default_s: float
    ) -> float:
        """Return a quantile in seconds.

        `quantile` ranges from 0 to 1. Return `default_s` if the route has
        too few durations.
        """
        window = self._window_by_route.get(route)
        min_count = self._params.min_count
        if window is None or len(window.sorted_s) < min_count:
            return default_s
        index = int(quantile * (len(window.sorted_s) - 1))
        return window.sorted_s[index]
