"""How long the present roster has been in force in the fleet."""

import math
import random
from collections.abc import Callable

import anyio

from jacinthcart.control._puller import PeerPuller
from jacinthcart.control._state import ControlState
from jacinthcart.program import CLOCK_RATE_MARGIN, Clock
from jacinthcart.settings import Endpoint
from jacinthcart.sync import RosterAge

_ROUND_INTERVAL_S = 0.25
#: Most VMs asked in one round.
_ROUND_SIZE = 8

_Ownership = tuple[frozenset[str], int]


class RightsAge:
    """Finds out at start whether another VM may use this VM's rights.

    A process that starts can't tell whether its roster is new. It waits
    `handover_seconds` unless a peer has had the same roster for that long.
    The wait also ends when every other VM of the roster answered, no process
    of them knows of a former roster, and the platform lists no VM outside
    the roster: then no process holds rights of a former roster. Without this
    second rule a fleet that starts as a whole would admit nothing at first.
    """

    def __init__(
        self,
        vm_id: str,
        state: ControlState,
        puller: PeerPuller,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Prepare; set the listener before `run`."""
        self.on_since: Callable[[float], None] = _ignore_since
        self._vm_id = vm_id
        self._state = state
        self._puller = puller
        self._clock = clock
        self._random = rng
        self._revision = 0
        self._since = math.inf
        self._is_first = True
        self._ownership: _Ownership | None = None
        self._first_vms: set[str] = set()
        self._is_alone = False

    @property
    def age_s(self) -> float:
        """Seconds since the present roster took effect, as far as known.

        Infinite when no former roster can be in use.
        """
        if self._is_alone:
            return math.inf
        return max(0.0, self._clock() - self._since)

    def describe(self) -> RosterAge | None:
        """Return what peers are told; None without a roster."""
        if self._ownership is None:
            return None
        age_s = max(0.0, self._clock() - self._since)
        return RosterAge(self._revision, age_s, self._is_first)

    def apply_settings(self) -> None:
        """Count the age anew when roster or policy in force changed."""
        view = self._state.view
        revision = self._state.rights_revision
        if view.roster is None or revision == self._revision:
            return
        ownership = (
            frozenset(view.roster.vms_by_id),
            view.policy.share_spread,
        )
        if self._ownership not in {None, ownership}:
            self._is_first = False
            self._is_alone = False
        self._ownership = ownership
        self._revision = revision
        self._since = self._clock()
        self._first_vms.clear()

    def take_peer(self, vm_id: str, told: RosterAge | None) -> None:
        """Take what a VM tells; another revision than the own is no news."""
        if told is None or told.revision != self._revision:
            return
        age_s = told.age_s * CLOCK_RATE_MARGIN
        self._since = min(self._since, self._clock() - age_s)
        if told.is_first:
            self._first_vms.add(vm_id)
        else:
            self._is_first = False
        self.on_since(self._since)

    async def run(self) -> None:
        """Ask peers until the rights of this start may be used."""
        while not self._is_over():
            async with anyio.create_task_group() as tasks:
                for vm_id, peer in self._select_peers():
                    tasks.start_soon(self._ask, vm_id, peer)
            if not self._is_over():
                await anyio.sleep(_ROUND_INTERVAL_S)
        # Neighbours learn of the end now instead of at their next poll.
        self._state.mark_changed()

    async def _ask(self, vm_id: str, peer: Endpoint) -> None:
        settings = await self._puller.pull_settings(peer)
        if settings is not None:
            self.take_peer(vm_id, settings.roster_age)

    def _select_peers(self) -> list[tuple[str, Endpoint]]:
        roster = self._state.view.roster
        entries = roster.vms_by_id if roster else {}
        others = sorted(set(entries) - {self._vm_id, *self._first_vms})
        chosen = self._random.sample(others, min(_ROUND_SIZE, len(others)))
        return [
            (
                vm_id,
                Endpoint(
                    address=entries[vm_id].address,
                    port=entries[vm_id].control_port,
                ),
            )
            for vm_id in chosen
        ]

    def _is_over(self) -> bool:
        if self._ownership is None:
            return False
        if self._has_no_former_roster(self._ownership[0]):
            self._is_alone = True
            self.on_since(-math.inf)
            return True
        return self.age_s >= self._state.view.policy.handover_seconds

    def _has_no_former_roster(self, roster_ids: frozenset[str]) -> bool:
        known = {self._vm_id, *self._first_vms}
        listed = self._state.live.state_by_vm
        return (
            self._is_first and roster_ids <= known and roster_ids >= set(listed)
        )


def _ignore_since(since: float) -> None:
    """Take no notice of the age."""
