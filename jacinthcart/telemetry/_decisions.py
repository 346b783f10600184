"""Records of the changes that the system makes automatically."""

import collections
import dataclasses
import time
from collections.abc import Callable

MAX_DECISIONS = 1000


@dataclasses.dataclass(frozen=True)
class Decision:
    """One automatic change."""

    #: Wall clock time in seconds since the epoch, for display only.
    at: float
    #: What was changed, for example `hedge` or `searcher_set_aside`.
    action: str
    #: Object of the change, for example a searcher id.
    target: str
    reason: str
    #: Observation that led to the change.
    observation: str
    #: Name of the setting that allows and limits the change.
    setting: str


class DecisionLog:
    """Keeps the latest decisions of one process in memory."""

    def __init__(
        self,
        wall_clock: Callable[[], float] = time.time,
        capacity: int = MAX_DECISIONS,
    ) -> None:
        """Start without decisions."""
        self._wall_clock = wall_clock
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=capacity,
        )

    def record(
        self,
        action: str,
        target: str,
        *,
        reason: str,
        observation: str,
        setting: str,
    ) -> Decision:
        """Add a decision and return it."""
        decision = Decision(
            self._wall_clock(),
            action,
            target,
            reason,
            observation,
            setting,
        )
        self._decisions.append(decision)
        return decision

    def list_newest(self, limit: int = MAX_DECISIONS) -> list[Decision]:
        """Return the latest decisions, at most `limit`, oldest first."""
        return list(self._decisions)[-limit:]
