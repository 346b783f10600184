"""Return times of callers whose workspace has used up its rate."""

import dataclasses

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class ReturnParameters:
    """How refused callers are spread over time."""

    #: Fraction of a workspace's rate that returning callers are expected to
    #: find. New requests use the rest.
    rate_fraction: float = 0.5
    #: Longest wait in seconds that a caller is given. Callers wait no longer
    #: than a part of their time limit.
    max_wait_s: float = 1.0


class ReturnSchedule:
    """Gives each refused caller of a workspace a turn of its own.

    After an outage many callers come at once. If all of them returned when
    the next request is granted, all but one would be refused again, and the
    rate would stay unused once they have given up.
    """

    def __init__(self, clock: Clock, params: ReturnParameters) -> None:
        """Create a schedule without turns."""
        self._clock = clock
        self._params = params
        self._last_turn_by_workspace: dict[str, float] = {}

    def reserve(self, workspace: str, rate_per_s: float) -> float:
        """Return the seconds after which a refused caller may return.

        `rate_per_s` is the rate that is granted to the workspace now.
        """
        now = self._clock()
        params = self._params
        last_turn = self._last_turn_by_workspace.get(workspace, now)
        turn_rate = rate_per_s * params.rate_fraction
        latest = now + params.max_wait_s
        turn = latest
        if turn_rate > 0:
            turn = min(latest, max(now, last_turn) + 1 / turn_rate)
        self._last_turn_by_workspace[workspace] = turn
        return turn - now

    def retain_only(self, workspaces: set[str]) -> None:
        """Drop the turns of all workspaces not in `workspaces`."""
        for workspace in set(self._last_turn_by_workspace) - workspaces:
            self._last_turn_by_workspace.pop(workspace)
