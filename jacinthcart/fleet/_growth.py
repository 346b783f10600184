"""How far a new process may trust its list of members."""

import dataclasses

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class GrowthTerms:
    """What a new process assumes while its list grows."""

    #: Seconds after the start while the fleet may be larger than known.
    settle_s: float = 3.0
    #: Members assumed while the fleet may be larger than known.
    settle_members: int = 8
    #: Seconds after the start in which the list of a large fleet may grow.
    growth_s: float = 8.0
    #: Seconds without a new member after which the list is complete.
    quiet_s: float = 1.0
    #: Answers of members with the same list after which it is complete.
    same_lists: int = 2
    #: Unknown members assumed for each known one beyond `settle_members`
    #: while the list grows.
    growth_factor: int = 3


class ListGrowth:
    """Tells whether the list of members is complete.

    Several new homes of one workspace would each grant its whole rate if
    they took a short list for the fleet.
    """

    def __init__(self, clock: Clock, terms: GrowthTerms) -> None:
        """Start with a list that may grow."""
        self._clock = clock
        self._terms = terms
        self._started_at = clock()
        self._grown_at = self._started_at
        self._same_lists = 0

    @property
    def is_complete(self) -> bool:
        """Return whether no more members are expected."""
        terms = self._terms
        now = self._clock()
        return (
            self._same_lists >= terms.same_lists
            or now - self._grown_at >= terms.quiet_s
            or now - self._started_at >= terms.growth_s
        )

    def note_new_member(self) -> None:
        """Expect further members."""
        self._grown_at = self._clock()
        self._same_lists = 0

    def note_same_list(self) -> None:
        """Count a member that knows the same records as this VM."""
        self._same_lists += 1

    def estimate(self, known: int) -> int:
        """Return how many members to assume when `known` are known."""
        terms = self._terms
        assumed = known
        if not self.is_complete:
            beyond = max(0, known - terms.settle_members)
            assumed += beyond * terms.growth_factor
        if self._clock() - self._started_at < terms.settle_s:
            return max(assumed, terms.settle_members)
        return assumed
