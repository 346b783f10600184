"""When to answer without the parts that are missing."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class AnswerParameters:
    """Times that an answer keeps free."""

    #: Seconds between an answer's sending and the end of the caller's
    #: target: the way to the caller and back.
    reserve_s: float = 0.01
    #: Seconds before the caller's deadline at which a request ends.
    deadline_reserve_s: float = 0.008


class HoldPolicy:
    """Whether to hold back a part that would come too late.

    Answers the load of a shard whose searchers can't keep up. If each query
    were sent, all would wait in their queue until they are late, and none
    would get the part. Each VM keeps one request at such a searcher, so
    that some queries are whole and a recovery is seen; the others answer
    without the part if they may.
    """

    def __init__(self, spare_parts: int, answer_at: float) -> None:
        """Take how many parts may be missing and the moment (s) to answer."""
        self._spare_parts = spare_parts
        self._answer_at = answer_at
        self._held: set[str] = set()

    def should_hold(
        self,
        service: str,
        in_flight: int,
        latency_s: float,
        now: float,
    ) -> bool:
        """Return whether a request to a searcher is held back for now.

        `in_flight` counts this VM's unanswered requests at the searcher,
        `latency_s` is the latency that one more would have.
        """
        is_late = now + latency_s > self._answer_at
        if not is_late or not in_flight or now >= self._answer_at:
            self._held.discard(service)
            return False
        if service not in self._held and len(self._held) >= self._spare_parts:
            return False
        self._held.add(service)
        return True


class AnswerPolicy:
    """Decides about one request over shards.

    A response has its full benefit until the target and a small one later;
    each missing part costs. So all parts are waited for until the target,
    and after it the answer leaves as soon as enough parts are in.
    """

    def __init__(
        self,
        shards: int,
        min_share: float,
        answer_at: float,
    ) -> None:
        """Take the number of shards and the moment (s) to answer at."""
        self.answer_at = answer_at
        self._shards = shards
        self._least = max(1, math.ceil(min_share * shards - 1e-9))

    @property
    def least_parts(self) -> int:
        """Return the parts that an answer needs."""
        return self._least

    @property
    def spare_parts(self) -> int:
        """Return how many parts may be missing."""
        return self._shards - self._least

    def should_answer(self, parts: int, failed: int, now: float) -> bool:
        """Return whether to answer with the parts that are in."""
        if parts < self._least:
            return False
        return parts + failed == self._shards or now >= self.answer_at

    def is_hopeless(self, failed: int) -> bool:
        """Return whether too many shards failed for any answer."""
        return self._shards - failed < self._least
