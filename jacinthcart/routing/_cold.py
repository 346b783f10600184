"""Cold starts of searchers, and which VM may send to a cold one when."""

import math
from collections.abc import Callable

from jacinthcart.catalogue import Searcher
from jacinthcart.program import Clock

_MS_PER_S = 1000
#: Part of a cold searcher's rate that its senders use together. They send
#: at most `_LEAST_SENDERS` + `_SENDERS_SHARE` x rate at once, and those of
#: two sides of a split together 1.45 x rate + 4 in any second: within the
#: platform's bound of 1.5 x rate + 5.
_RATE_SHARE = 0.6
#: Senders of a cold searcher at least, and further ones per unit of rate.
_LEAST_SENDERS = 2
_SENDERS_SHARE = 0.125

#: Returns the addresses of the VMs with callers in the order for a key.
RankSenders = Callable[[str], list[str]]


class ColdStartLimiter:
    """Divides what a cold searcher bears among a few VMs with callers.

    A right to send is whole: more senders with less each could all send in
    the same second. Each VM computes the senders from the members, so that
    the fleet needs no message to keep within the rate.
    """

    def __init__(
        self,
        own_address: str,
        rank_senders: RankSenders,
        clock: Clock,
    ) -> None:
        """Start without cold starts."""
        self._own_address = own_address
        self._rank_senders = rank_senders
        self._clock = clock
        self._cold_until: dict[tuple[str, int], float] = {}
        self._sent_at: dict[tuple[str, int], float] = {}
        self._sequence_by_process: dict[tuple[str, int], int] = {}

    def note(self, searcher: Searcher) -> None:
        """Take a searcher's announcement, which may start a cold time.

        The time is counted from the announcement, which stays in the
        catalogue when its time is over. A searcher may turn cold again.
        """
        key = searcher.process
        if self._sequence_by_process.get(key) == searcher.sequence:
            return
        self._sequence_by_process[key] = searcher.sequence
        if searcher.cold_left_ms > 0:
            left_s = searcher.cold_left_ms / _MS_PER_S
            self._cold_until[key] = self._clock() + left_s

    def forget_except(self, processes: set[tuple[str, int]]) -> None:
        """Drop what is known of all other processes."""
        for key in set(self._sequence_by_process) - processes:
            self._sequence_by_process.pop(key)
            self._cold_until.pop(key, None)
            self._sent_at.pop(key, None)

    def is_cold(self, searcher: Searcher) -> bool:
        """Return whether a searcher's cold start goes on."""
        now = self._clock()
        return self._cold_until.get(searcher.process, now) > now

    def note_send(self, searcher: Searcher) -> None:
        """Count a request that leaves for a searcher."""
        if self.is_cold(searcher):
            self._sent_at[searcher.process] = self._clock()

    def find_opening(self, searcher: Searcher, rate_per_s: float) -> float:
        """Return the second from which this VM may send; infinity if never.

        `rate_per_s` is what the searcher bears while it is cold, 0 without
        a limit.
        """
        if not rate_per_s or not self.is_cold(searcher):
            return -math.inf
        count = _LEAST_SENDERS + int(_SENDERS_SHARE * rate_per_s)
        senders = self._rank_senders(f'cold/{searcher.searcher_id}')[:count]
        if self._own_address not in senders:
            return math.inf
        interval_s = len(senders) / (rate_per_s * _RATE_SHARE)
        return self._sent_at.get(searcher.process, -math.inf) + interval_s
