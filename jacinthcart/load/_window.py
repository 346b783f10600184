"""Checks that answers stay within a rate over every time window."""

import bisect
import dataclasses
import itertools
from collections.abc import Sequence

_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True)
class Excess:
    """A window in which more requests were admitted than is allowed."""

    #: Start of the window in seconds.
    start_s: float
    #: Requests above rate times window plus burst.
    amount: float


class _PrefixMaximum:
    """Highest prefix sum that ends at a marked entry; log n a change."""

    def __init__(self, entries: Sequence[float]) -> None:
        """Start with no entry marked."""
        self._size = 1
        while self._size < len(entries):
            self._size *= 2
        self._sums = list(itertools.repeat(0.0, 2 * self._size))
        self._maxima = list(
            itertools.repeat(float('-inf'), 2 * self._size),
        )
        for index, entry in enumerate(entries):
            self._change(index, entry)

    @property
    def highest(self) -> float:
        """Return the highest sum of the entries up to a marked one."""
        return self._maxima[1]

    def add(self, index: int, amount: float) -> None:
        """Add to one entry and mark it."""
        node = index + self._size
        self._maxima[node] = self._sums[node] + amount
        self._change(index, amount)

    def _change(self, index: int, amount: float) -> None:
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
    """Return the worst window over `rate` times window plus `burst`.

    `spans` holds when each admitted request was sent and its answer
    received. A request counts in a window only if both lie within it, as
    it was then certainly admitted there: an excess is always real, while a
    small one can stay unseen.
    """
    if not spans:
        return None
    received = sorted(span[1] for span in spans)
    # The prefix sum at an end is the number of requests received by then
    # minus rate times the time since the first end. The worst window ends
    # where a request of it was received.
    steps = [
        rate * (earlier - later)
        for earlier, later in itertools.pairwise((received[0], *received))
    ]
    prefix = _PrefixMaximum(steps)
    worst: Excess | None = None
    for sent_s, received_s in sorted(spans, reverse=True):
        prefix.add(bisect.bisect_left(received, received_s), 1)
        offset = rate * (received[0] - sent_s)
        amount = prefix.highest - offset - burst
        if amount > _TOLERANCE and (worst is None or amount > worst.amount):
            worst = Excess(sent_s, amount)
    return worst
