"""Checks that answers stay within rate and burst in all time windows."""

import bisect
import dataclasses
import itertools
from collections.abc import Sequence

_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True)
class Excess:
    """A time window with more admitted requests than allowed."""

    #: Start of the window in seconds.
    start_s: float
    #: Number of requests above rate times window plus burst.
    amount: float


class _PrefixMaximumTree:
    """Segment tree of prefix sums; finds the maximum at marked elements.

    An update takes O(log n).
    """

    def __init__(self, elements: Sequence[float]) -> None:
        """Build the tree without marked elements."""
        self._size = 1
        while self._size < len(elements):
            self._size *= 2
        self._sums = list(itertools.repeat(0.0, 2 * self._size))
        self._maxima = list(
            itertools.repeat(float('-inf'), 2 * self._size),
        )
        for index, element in enumerate(elements):
            self._update(index, element)

    @property
    def highest(self) -> float:
        """Return the maximum prefix sum that ends at a marked element."""
        return self._maxima[1]

    def add(self, index: int, amount: float) -> None:
        """Add an amount to an element and mark it."""
        node = index + self._size
        self._maxima[node] = self._sums[node] + amount
        self._update(index, amount)

    def _update(self, index: int, amount: float) -> None:
        node = index + self._size
        self._sums[node] += amount
        node //= 2
        while node:
            left, right = 2 * node, 2 * node + 1
            self._sums[node] = self._sums[left] + self._sums[right]
            self._maxima[node] = max(
                self._maxima[left],
                self._sums[left] + self._maxima[right],
            )
            node //= 2


def find_excess(
    spans: Sequence[tuple[float, float]],
    rate: float,
    burst: float,
) -> Excess | None:
    """Return the window that most exceeds `rate` times window plus `burst`.

    `spans` contains the times at which each admitted request was sent and its
    answer received. A request counts in a window only if both lie within
    it, as only then it was certainly admitted there. There are no false
    positives, but a small excess can stay undetected.
    """
    if not spans:
        return None
    received = sorted(span[1] for span in spans)
    # The prefix sum at a receive time is the number of requests received by
    # then minus rate times the time since the first receive time. The worst
    # window ends at the receive time of one of its requests.
    steps = [
        rate * (earlier - later)
        for earlier, later in itertools.pairwise((received[0], *received))
    ]
    prefix = _PrefixMaximumTree(steps)
    worst: Excess | None = None
    for sent_s, received_s in sorted(spans, reverse=True):
        prefix.add(bisect.bisect_left(received, received_s), 1)
        offset = rate * (received[0] - sent_s)
        amount = prefix.highest - offset - burst
        if amount > _TOLERANCE and (worst is None or amount > worst.amount):
            worst = Excess(sent_s, amount)
    return worst
