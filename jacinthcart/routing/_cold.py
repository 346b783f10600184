"""Rate limiting of requests to searchers that are in their cold start."""

import math
from collections.abc import Callable

from jacinthcart.catalogue import Searcher
from jacinthcart.program import Clock

_MS_PER_S = 1000
#: Fraction of a cold searcher's rate limit that all its senders use together.
#: Each sender may start with one request, so at most `_MIN_SENDERS` +
#: `_SENDERS_PER_RATE` x rate requests are sent at the same moment. In a network
#: partition the senders of both sides together send at most 1.45 x rate + 4
#: requests in any second, within the platform's bound of 1.5 x rate + 5.
_RATE_FRACTION = 0.6
#: Minimum number of senders of a cold searcher, and additional senders per
#: request per second of its rate limit.
_MIN_SENDERS = 2
_SENDERS_PER_RATE = 0.125

#: Returns the addresses of the VMs that serve callers, ranked for a key.
RankSenders = Callable[[str], list[str]]


class ColdStartLimiter:
    """Divides the rate limit of a cold searcher among a few VMs.

    These VMs, the senders, are chosen from those that serve callers. Their
    number is limited because a send is indivisible: many senders with a
    small rate each could all send in the same second. Each VM derives the
    senders from the member list, so staying within the limit needs no
    coordination.
    """

    def __init__(
        self,
        own_address: str,
        rank_senders: RankSenders,
        clock: Clock,
    ) -> None:
        """Create a limiter without any cold searchers."""
        self._own_address = own_address
        self._rank_senders = rank_senders
        self._clock = clock
        self._cold_until: dict[tuple[str, int], float] = {}
        self._sent_at: dict[tuple[str, int], float] = {}
        self._sequence_by_process: dict[tuple[str, int], int] = {}

    def update(self, searcher: Searcher) -> None:
        """Apply a searcher's published entry, which may begin a cold start.

        The remaining time of the cold start counts from the first call with
        an entry; further calls with the same one are ignored, because it
        stays in the catalogue after the cold start has ended. A searcher may
        become cold again.
        """
        key = searcher.process
        if self._sequence_by_process.get(key) == searcher.sequence:
            return
        self._sequence_by_process[key] = searcher.sequence
        if searcher.cold_left_ms > 0:
            left_s = searcher.cold_left_ms / _MS_PER_S
            self._cold_until[key] = self._clock() + left_s

    def retain_only(self, processes: set[tuple[str, int]]) -> None:
        """Drop the state of all processes not in `processes`."""
        for key in set(self._sequence_by_process) - processes:
            self._sequence_by_process.pop(key)
            self._cold_until.pop(key, None)
            self._sent_at.pop(key, None)

    def is_cold(self, searcher: Searcher) -> bool:
        """Return whether the searcher is still in its cold start."""
        now = self._clock()
        return self._cold_until.get(searcher.process, now) > now

    def record_send(self, searcher: Searcher) -> None:
        """Record that a request is being sent to `searcher`."""
        if self.is_cold(searcher):
            self._sent_at[searcher.process] = self._clock()

    def compute_earliest_send(
        self, searcher: Searcher, rate_per_s: float
    ) -> float:
        """Return the clock time from which this VM may send to `searcher`.

        The time is negative infinity if sends are not limited and infinity
        if this VM is not one of the senders. `rate_per_s` is the limit of
        requests to a cold searcher from all VMs; 0 means no limit.
        """
        if not rate_per_s or not self.is_cold(searcher):
            return -math.inf
        count = _MIN_SENDERS + int(_SENDERS_PER_RATE * rate_per_s)
        senders = self._rank_senders(f'cold/{searcher.searcher_id}')[:count]
        if self._own_address not in senders:
            return math.inf
        interval_s = len(senders) / (rate_per_s * _RATE_FRACTION)
        return self._sent_at.get(searcher.process, -math.inf) + interval_s
