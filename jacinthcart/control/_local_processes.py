"""Liveness of the entry and gather processes of this VM."""

import dataclasses

from jacinthcart.program import Clock

LOCAL_PROGRAMS = ('entry', 'gather')


@dataclasses.dataclass(frozen=True)
class _Poll:
    seen_at: float
    ready: bool


class LocalProcesses:
    """Tracks the state polls of the local processes."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without recorded polls."""
        self._clock = clock
        self._last_poll_by_program: dict[str, _Poll] = {}
        self._open_polls_by_program: dict[str, int] = {}

    def start_poll(self, program: str, ready: bool) -> None:
        """Record the start of a poll."""
        self._last_poll_by_program[program] = _Poll(self._clock(), ready)
        self._open_polls_by_program[program] = (
            self._open_polls_by_program.get(program, 0) + 1
        )

    def end_poll(self, program: str) -> None:
        """Record the end of a poll."""
        ready = self._last_poll_by_program[program].ready
        self._last_poll_by_program[program] = _Poll(self._clock(), ready)
        self._open_polls_by_program[program] -= 1

    def list_ages(self) -> dict[str, float | None]:
        """Return the seconds since the last poll of each local process.

        The age of a process that has never polled is None.
        """
        now = self._clock()
        ages: dict[str, float | None] = dict.fromkeys(LOCAL_PROGRAMS)
        for program, poll in self._last_poll_by_program.items():
            ages[program] = now - poll.seen_at
        return ages

    def are_ready(self, lease_s: float) -> bool:
        """Return whether both polled within `lease_s` and reported ready."""
        oldest = self._clock() - lease_s
        polls = [
            self._last_poll_by_program.get(name) for name in LOCAL_PROGRAMS
        ]
        return all(
            poll is not None and poll.ready and poll.seen_at >= oldest
            for poll in polls
        )

    def are_inactive(self, idle_s: float) -> bool:
        """Return whether no poll is open or was seen within `idle_s`."""
        if any(self._open_polls_by_program.values()):
            return False
        oldest = self._clock() - idle_s
        return all(
            poll.seen_at < oldest
            for poll in self._last_poll_by_program.values()
        )
