"""Demand of one workspace on one VM, counted by interval."""

import collections

from jacinthcart.program import Clock

_INTERVALS_KEPT = 4
_RECENT_INTERVALS = 2


class DemandMeter:
    """Counts requested permits in intervals of equal length."""

    def __init__(self, interval_s: float, clock: Clock) -> None:
        """Start without demand."""
        self.interval_s = interval_s
        self._clock = clock
        self._count_by_interval: collections.Counter[int] = (
            collections.Counter()
        )

    def add(self, count: int) -> None:
        """Count `count` requested permits now."""
        current = self._find_interval()
        self._count_by_interval[current] += count
        oldest = current - _INTERVALS_KEPT
        for interval in list(self._count_by_interval):
            if interval < oldest:
                self._count_by_interval.pop(interval)

    def change_interval(self, interval_s: float) -> None:
        """Count in intervals of another length, from zero."""
        if interval_s != self.interval_s:
            self.interval_s = interval_s
            self._count_by_interval.clear()

    def predict(self) -> float:
        """Return the demand expected for the next interval.

        The larger mean of two spans: the shorter one follows a rise, the
        longer one evens out requests that arrive in batches.
        """
        counts = self._list_complete()
        recent = counts[:_RECENT_INTERVALS]
        return max(sum(counts) / len(counts), sum(recent) / len(recent))

    def count_kept_back(self) -> float:
        """Return the demand that the VM's own tokens are kept for.

        The largest of the last complete interval, the present interval and
        the prediction.
        """
        current = self._find_interval()
        return max(
            self._count_by_interval.get(current, 0),
            self._count_by_interval.get(current - 1, 0),
            self.predict(),
        )

    def is_steady(self) -> bool:
        """Return whether every interval of the kept span had demand."""
        return min(self._list_complete()) > 0

    def _find_interval(self) -> int:
        return int(self._clock() // self.interval_s)

    def _list_complete(self) -> list[int]:
        current = self._find_interval()
        return [
            self._count_by_interval.get(current - age, 0)
            for age in range(1, _INTERVALS_KEPT + 1)
        ]
