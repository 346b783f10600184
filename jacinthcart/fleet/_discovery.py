"""Estimates the size of the fleet while members are being discovered."""

import dataclasses

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class DiscoveryParameters:
    """What a new process assumes while its member list is incomplete."""

    #: Seconds after the start in which at least `startup_members` are
    #: assumed.
    startup_s: float = 3.0
    #: Minimum number of members assumed during `startup_s`.
    startup_members: int = 8
    #: Seconds after the start at which the list counts as complete.
    discovery_s: float = 8.0
    #: Seconds without a new member after which the list counts as complete.
    stable_s: float = 1.0
    #: Number of answers from members with an identical list after which the
    #: list counts as complete.
    matching_lists: int = 2
    #: Unknown members assumed for each known one beyond `startup_members`
    #: while the list is incomplete.
    unknown_factor: int = 3


class MemberDiscovery:
    """Tracks whether the list of members is complete.

    If new processes took an incomplete list for the whole fleet, several
    homes of one workspace would each grant its full rate.
    """

    def __init__(self, clock: Clock, params: DiscoveryParameters) -> None:
        """Start with an incomplete list."""
        self._clock = clock
        self._params = params
        self._started_at = clock()
        self._last_found_at = self._started_at
        self._matching_lists = 0

    @property
    def is_complete(self) -> bool:
        """Whether no further members are expected."""
        params = self._params
        now = self._clock()
        return (
            self._matching_lists >= params.matching_lists
            or now - self._last_found_at >= params.stable_s
            or now - self._started_at >= params.discovery_s
        )

    def record_new_member(self) -> None:
        """Restart the wait for further members."""
        self._last_found_at = self._clock()
        self._matching_lists = 0

    def record_matching_list(self) -> None:
        """Count an answer of a member whose list is identical to this VM's."""
        self._matching_lists += 1

    def estimate(self, known: int) -> int:
        """Return the assumed number of members when `known` are known."""
        params = self._params
        assumed = known
        if not self.is_complete:
            beyond = max(0, known - params.startup_members)
            assumed += beyond * params.unknown_factor
        if self._clock() - self._started_at < params.startup_s:
            return max(assumed, params.startup_members)
        return assumed
