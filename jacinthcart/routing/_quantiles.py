"""Quantiles of recent durations, by route."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class QuantileParameters:
    """How many durations a quantile is taken of."""

    #: Latest durations that are kept.
    kept: int = 300
    #: Durations without which a quantile says too little.
    least_count: int = 20
    #: Durations after which the kept ones are sorted again.
    refresh_count: int = 25


class _Window:
    """Latest durations of one route."""

    def __init__(self, kept: int) -> None:
        """Start empty."""
        self.durations_s: collections.deque[float] = collections.deque(
            maxlen=kept,
        )
        self.sorted_s: list[float] = []
        self.added = 0


class QuantileTracker:
    """Quantiles over the last durations of each route."""

    def __init__(self, terms: QuantileParameters | None = None) -> None:
        """Start without durations."""
        self._terms = terms or QuantileParameters()
        self._window_by_route: dict[str, _Window] = {}

    def add(self, route: str, duration_s: float) -> None:
        """Count one duration in seconds."""
        window = self._window_by_route.get(route)
        if window is None:
            window = _Window(self._terms.kept)
            self._window_by_route[route] = window
        window.durations_s.append(duration_s)
        window.added += 1
        if window.added >= self._terms.refresh_count or not window.sorted_s:
            window.added = 0
            window.sorted_s = sorted(window.durations_s)

    def quantile_s(
        self, route: str, quantile: float, default_s: float
    ) -> float:
        """Return a quantile, `default_s` while too few are known."""
        window = self._window_by_route.get(route)
        least_count = self._terms.least_count
        if window is None or len(window.sorted_s) < least_count:
            return default_s
        index = int(quantile * (len(window.sorted_s) - 1))
        return window.sorted_s[index]
