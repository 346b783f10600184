"""Signs of life of this VM's entry and gather."""

import dataclasses

from jacinthcart.program import Clock

NEIGHBOURS = ('entry', 'gather')


@dataclasses.dataclass(frozen=True)
class _Sign:
    seen_at: float
    ready: bool


class Neighbours:
    """Remembers when each neighbour polled last."""

    def __init__(self, clock: Clock) -> None:
        """Start without a sign of life."""
        self._clock = clock
        self._sign_by_program: dict[str, _Sign] = {}
        self._polling: dict[str, int] = {}

    def start_poll(self, program: str, ready: bool) -> None:
        """Take the start of a poll."""
        self._sign_by_program[program] = _Sign(self._clock(), ready)
        self._polling[program] = self._polling.get(program, 0) + 1

    def end_poll(self, program: str) -> None:
        """Take the end of a poll."""
        ready = self._sign_by_program[program].ready
        self._sign_by_program[program] = _Sign(self._clock(), ready)
        self._polling[program] -= 1

    def list_ages(self) -> dict[str, float | None]:
        """Return seconds since each neighbour's last sign of life."""
        now = self._clock()
        ages: dict[str, float | None] = dict.fromkeys(NEIGHBOURS)
        for program, sign in self._sign_by_program.items():
            ages[program] = now - sign.seen_at
        return ages

    def are_ready(self, lease_s: float) -> bool:
        """Return whether both polled as ready within `lease_s`."""
        oldest = self._clock() - lease_s
        signs = [self._sign_by_program.get(name) for name in NEIGHBOURS]
        return all(
            sign is not None and sign.ready and sign.seen_at >= oldest
            for sign in signs
        )

    def are_silent(self, quiet_s: float) -> bool:
        """Return whether no neighbour polls or polled within `quiet_s`."""
        if any(self._polling.values()):
            return False
        oldest = self._clock() - quiet_s
        return all(
            sign.seen_at < oldest for sign in self._sign_by_program.values()
        )
