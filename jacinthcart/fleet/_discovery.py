"""How far a new process may trust its list of members."""

import dataclasses

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class DiscoveryParameters:
    """What a new process assumes while its list grows."""

    #: Seconds after the start while the fleet may be larger than known.
    startup_s: float = 3.0
    #: Members assumed while the fleet may be larger than known.
    startup_members: int = 8
    #: Seconds after the start in which the list of a large fleet may grow.
    discovery_s: float = 8.0
    #: Seconds without a new member after which the list is complete.
    stable_s: float = 1.0
    #: Answers of members with the same list after which it is complete.
    matching_lists: int = 2
    #: Unknown members assumed for each known one beyond `startup_members`
    #: while the list grows.
    unknown_factor: int = 3


class MemberDiscovery:
    """Tells whether the list of members is complete.

    Several new homes of one workspace would each grant its whole rate if
    they took a short list for the fleet.
    """

    def __init__(self, clock: Clock, params: DiscoveryParameters) -> None:
        """Start with a list that may grow."""
        self._clock = clock
        self._params = params
        self._started_at = clock()
        self._last_found_at = self._started_at
        self._same_lists = 0

    @property
    def is_complete(self) -> bool:
        """Return whether no more members are expected."""
        params = self._params
        now = self._clock()
        return (
            self._same_lists >= params.matching_lists
            or now - self._last_found_at >= params.stable_s
            or now - self._started_at >= params.discovery_s
        )

    def record_new_member(self) -> None:
        """Expect further members."""
        self._last_found_at = self._clock()
        self._same_lists = 0

    def record_matching_list(self) -> None:
        """Count a member that knows the same records as this VM."""
        self._same_lists += 1

    def estimate(self, known: int) -> int:
        """Return how many members to assume when `known` are known."""
        params = self._params
        assumed = known
        if not self.is_complete:
            beyond = max(0, known - params.startup_members)
            assumed += beyond * params.unknown_factor
        if self._clock() - self._started_at < params.startup_s:
            return max(assumed, params.startup_members)
        return assumed
