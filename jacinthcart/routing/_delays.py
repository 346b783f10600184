"""Usual latencies of searchers, by route."""

import collections

_KEPT = 300
_LEAST_COUNT = 20
_REFRESH_COUNT = 25


class _Window:
    """Latest latencies of one route."""

    def __init__(self) -> None:
        """Start empty."""
        self.latencies_s: collections.deque[float] = collections.deque(
            maxlen=_KEPT,
        )
        self.sorted_s: list[float] = []
        self.added = 0


class DelayTracker:
    """Quantiles over the last latencies of each route's sends."""

    def __init__(self) -> None:
        """Start without latencies."""
        self._window_by_route: dict[str, _Window] = {}

    def add(self, route: str, latency_s: float) -> None:
        """Count one latency."""
        window = self._window_by_route.get(route)
        if window is None:
            window = _Window()
            self._window_by_route[route] = window
        window.latencies_s.append(latency_s)
        window.added += 1
        if window.added >= _REFRESH_COUNT or not window.sorted_s:
            window.added = 0
            window.sorted_s = sorted(window.latencies_s)

    def quantile_s(
        self, route: str, quantile: float, default_s: float
    ) -> float:
        """Return a quantile, `default_s` while too few are known."""
        window = self._window_by_route.get(route)
        if window is None or len(window.sorted_s) < _LEAST_COUNT:
            return default_s
        index = int(quantile * (len(window.sorted_s) - 1))
        return window.sorted_s[index]
