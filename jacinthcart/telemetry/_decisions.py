"""Records of what the system changed by itself."""

import collections
import dataclasses
import time
from collections.abc import Callable

MAX_DECISIONS = 1000


@dataclasses.dataclass(frozen=True)
class Decision:
    """One automatic change."""

    #: Wall clock time in seconds since the epoch, for people only.
    at: float
    #: What was changed, for example `hedge` or `searcher_set_aside`.
    action: str
    #: What it was done to, for example a searcher id.
    target: str
    #: Why it was done.
    reason: str
    #: The observation behind it.
    observation: str
    #: Name of the setting that allows and bounds it.
    setting: str


class DecisionLog:
    """Keeps the newest decisions of one process in memory."""

    def __init__(
        self,
        wall_clock: Callable[[], float] = time.time,
        capacity: int = MAX_DECISIONS,
    ) -> None:
        """Start empty."""
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
        """Add one decision and return it."""
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
        """Return at most `limit` decisions, oldest first."""
        return list(self._decisions)[-limit:]
