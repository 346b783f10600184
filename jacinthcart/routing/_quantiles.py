"""Quantiles of recent durations, by route."""

import collections

_KEPT = 300
_LEAST_COUNT = 20
_REFRESH_COUNT = 25


class _Window:
    """Latest durations of one route."""

    def __init__(self) -> None:
        """Start empty."""
        self.durations_s: collections.deque[float] = collections.deque(
            maxlen=_KEPT,
        )
        self.sorted_s: list[float] = []
        self.added = 0


class QuantileTracker:
    """Quantiles over the last durations of each route."""

    def __init__(self) -> None:
        """Start without durations."""
        self._window_by_route: dict[str, _Window] = {}

    def add(self, route: str, duration_s: float) -> None:
        """Count one duration in seconds."""
        window = self._window_by_route.get(route)
        if window is None:
            window = _Window()
            self._window_by_route[route] = window
        window.durations_s.append(duration_s)
        window.added += 1
        if window.added >= _REFRESH_COUNT or not window.sorted_s:
            window.added = 0
            window.sorted_s = sorted(window.durations_s)

    def quantile_s(
        self, route: str, quantile: float, default_s: float
    ) -> float:
        """Return a quantile, `default_s` while too few are known."""
        window = self._window_by_route.get(route)
        if window is None or len(window.sorted_s) < _LEAST_COUNT:
            return default_s
        index = int(quantile * (len(window.sorted_s) - 1))
        return window.sorted_s[index]
