"""Policies for queries over shards whose answers may lack parts.

A part is the response of one shard.
"""

import dataclasses
import math
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True)
class AnswerParameters:
    """Margins before the target and the deadline of a request."""

    #: Seconds before the caller's target at which an answer is sent, for
    #: the network round trip to the caller.
    reserve_s: float = 0.01
    #: Seconds before the caller's deadline at which a request is ended.
    deadline_reserve_s: float = 0.008


@dataclasses.dataclass(frozen=True)
class RetryParameters:
    """How callers are spread over time after a refusal."""

    #: Minimum period in seconds over which refused callers return.
    min_spread_s: float = 0.1
    #: Fraction of the wait by which the period is longer if that is more.
    spread_fraction: float = 0.25
    #: Number of priorities that return one after the other; requests with a
    #: lower priority return with the last of them.
    priorities: int = 4


def compute_retry_after_s(
    wait_s: float,
    priority: int,
    random_fraction: float,
    params: RetryParameters,
) -> float:
    """Return the seconds after which a refused caller may return.

    Searchers that have asked to wait accept requests again after `wait_s`. If
    all callers returned at that moment, the searchers would reject most of
    them again. Callers therefore return over a period, more urgent requests
    first and at random within a priority. `random_fraction` is uniform in
    [0, 1).
    """
    spread_s = max(params.min_spread_s, wait_s * params.spread_fraction)
    turn = min(max(priority, 0), params.priorities - 1) + random_fraction
    return wait_s + spread_s * turn / params.priorities


def compute_answerable_at(
    available_at: Iterable[float], optional_parts: int
) -> float:
    """Return the clock time from which enough shards are available.

    `available_at` contains, for each shard that is not available, the time
    from which it is, and `optional_parts` of them may be missing in an answer.
    """
    times = sorted(available_at)
    required = len(times) - optional_parts
    return times[required - 1] if required > 0 else -math.inf


class HoldPolicy:
    """Holds back shard requests whose responses would be too late.

    This sheds load from a shard whose searchers can't keep up. If all
    requests were sent, they would queue until they are late, and no query
    would get the part in time. Each VM keeps one request in flight at such
    a searcher, so that some queries are complete and a recovery is noticed.
    The other queries are answered without the part if the route permits it.
    """

    def __init__(self, optional_parts: int, answer_at: float) -> None:
        """Create the policy of one query.

        `optional_parts` is the number of parts that may be missing,
        `answer_at` the clock time in seconds at which to answer.
        """
        self._optional_parts = optional_parts
        self._answer_at = answer_at
        self._held: set[str] = set()

    def should_hold(
        self,
        service: str,
        in_flight: int,
        latency_s: float,
        now: float,
    ) -> bool:
        """Return whether to hold back a request to a searcher for now.

        `in_flight` is the number of this VM's unanswered requests to the
        searcher, `latency_s` the expected latency of another one. No more
        services than there are optional parts are held back at a time.
        """
        is_late = now + latency_s > self._answer_at
        if not is_late or not in_flight or now >= self._answer_at:
            self._held.discard(service)
            return False
        if (
            service not in self._held
            and len(self._held) >= self._optional_parts
        ):
            return False
        self._held.add(service)
        return True


class AnswerPolicy:
    """Decides when to answer a query over several shards.

    An answer has its full value until the target and little value later,
    and each missing part lowers it. The query therefore waits for all parts
    until the target, and afterwards only for the required number of parts.
    """

    def __init__(
        self,
        shards: int,
        min_fraction: float,
        answer_at: float,
    ) -> None:
        """Create the policy of one query.

        `shards` is the number of shards, `min_fraction` the fraction of them
        that an answer must include and `answer_at` the clock time in seconds
        at which to answer.
        """
        self.answer_at = answer_at
        self._shards = shards
        self._min_parts = max(1, math.ceil(min_fraction * shards - 1e-9))

    @property
    def min_parts(self) -> int:
        """Return the minimum number of parts of an answer."""
        return self._min_parts

    @property
    def optional_parts(self) -> int:
        """Return the number of parts that may be missing."""
        return self._shards - self._min_parts

    def should_answer(self, parts: int, failed: int, now: float) -> bool:
        """Return whether to answer with the parts received so far.

        `parts` and `failed` are the numbers of shards that responded and
        that finally failed.
        """
        if parts < self._min_parts:
            return False
        return parts + failed == self._shards or now >= self.answer_at

    def is_unanswerable(self, failed: int) -> bool:
        """Return whether too many shards failed for an answer."""
        return self._shards - failed < self._min_parts
