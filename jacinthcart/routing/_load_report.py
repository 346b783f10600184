"""What a searcher reports about its load."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of one searcher at the time of a response."""

    #: Requests that run.
    running: int
    #: Requests that wait for a slot.
    waiting: int
    #: Requests that the searcher runs concurrently.
    slots: int
    #: How long work takes at this moment relative to its usual duration; 1 is
    #: as usual. None if not reported.
    slowdown: float | None = None

    @property
    def queue_length(self) -> int:
        """Return the number of requests that a new one would queue behind."""
        return max(0, self.running + self.waiting + 1 - self.slots)
