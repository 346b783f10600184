"""When to answer without the parts that are missing."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class AnswerTerms:
    """Times that an answer keeps free."""

    #: Seconds between an answer's sending and the end of the caller's
    #: target: the way to the caller and back.
    reserve_s: float = 0.01
    #: Seconds before the caller's deadline at which a request ends.
    deadline_reserve_s: float = 0.008


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

    def should_answer(self, parts: int, failed: int, now: float) -> bool:
        """Return whether to answer with the parts that are in."""
        if parts < self._least:
            return False
        return parts + failed == self._shards or now >= self.answer_at

    def is_hopeless(self, failed: int) -> bool:
        """Return whether too many shards failed for any answer."""
        return self._shards - failed < self._least
