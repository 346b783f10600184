"""Measures the demand of one workspace on one VM."""

import collections

from jacinthcart.program import Clock

_RETAINED_INTERVALS = 4
_RECENT_INTERVALS = 2


class DemandMeter:
    """Counts requested permits in fixed-length intervals."""

    def __init__(self, interval_s: float, clock: Clock) -> None:
        """Create a meter with no recorded demand."""
        self.interval_s = interval_s
        self._clock = clock
        self._count_by_interval: collections.Counter[int] = (
            collections.Counter()
        )

    def add(self, count: int) -> None:
        """Add `count` requested permits to the current interval."""
        current = self._compute_current_interval()
        self._count_by_interval[current] += count
        oldest = current - _RETAINED_INTERVALS
        for interval in list(self._count_by_interval):
            if interval < oldest:
                self._count_by_interval.pop(interval)

    def change_interval(self, interval_s: float) -> None:
        """Set the interval length; a change discards all counts."""
        if interval_s != self.interval_s:
            self.interval_s = interval_s
            self._count_by_interval.clear()

    def predict(self) -> float:
        """Return the demand expected in the next interval.

        The prediction is the larger of two moving averages: the short window
        follows a rise in demand, the long one smooths batched arrivals.
        """
        counts = self._list_complete()
        recent = counts[:_RECENT_INTERVALS]
        return max(sum(counts) / len(counts), sum(recent) / len(recent))

    def count_reserved(self) -> float:
        """Return the local demand for which own tokens are reserved.

        This is the maximum of the current interval, the last complete
        interval and the prediction.
        """
        current = self._compute_current_interval()
        return max(
            self._count_by_interval.get(current, 0),
            self._count_by_interval.get(current - 1, 0),
            self.predict(),
        )

    def is_steady(self) -> bool:
        """Return whether each of the last complete intervals had demand."""
        return min(self._list_complete()) > 0

    def _compute_current_interval(self) -> int:
        return int(self._clock() // self.interval_s)

    def _list_complete(self) -> list[int]:
        current = self._compute_current_interval()
        return [
            self._count_by_interval.get(current - age, 0)
            for age in range(1, _RETAINED_INTERVALS + 1)
        ]
