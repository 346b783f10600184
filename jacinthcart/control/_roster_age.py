"""Tracks how long the current roster has been in force in the fleet."""

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
#: Maximum number of VMs queried in one round.
_PEERS_PER_ROUND = 8

#: VM ids of the roster, and `share_spread`.
_Ownership = tuple[frozenset[str], int]


class RosterAgeTracker:
    """Determines at start whether other VMs may still use this VM's shares.

    A process that has just started cannot tell whether its roster is new. It
    waits `handover_seconds` unless a peer has had the same roster for that
    long. The wait also ends when all other VMs of the roster have answered,
    none of them knows of a previous roster, and the platform lists no VM
    outside the roster. In this case no process owns shares under a previous
    roster. Without this second rule, a fleet whose VMs all start at once
    would not admit any requests at first.
    """

    def __init__(
        self,
        vm_id: str,
        state: ControlState,
        puller: PeerPuller,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a tracker; the listener must be set before `run`."""
        self.on_activation: Callable[[float], None] = _ignore_activation
        self._vm_id = vm_id
        self._state = state
        self._puller = puller
        self._clock = clock
        self._random = rng
        self._revision = 0
        self._activated_at = math.inf
        self._is_first = True
        self._ownership: _Ownership | None = None
        self._first_roster_vm_ids: set[str] = set()
        self._is_previous_roster_excluded = False

    @property
    def age_s(self) -> float:
        """Lower bound of the seconds since the current roster took effect.

        Infinite if no process can be using a previous roster.
        """
        if self._is_previous_roster_excluded:
            return math.inf
        return max(0.0, self._clock() - self._activated_at)

    def describe(self) -> RosterAge | None:
        """Return the age reported to peers, or None without a roster."""
        if self._ownership is None:
            return None
        age_s = max(0.0, self._clock() - self._activated_at)
        return RosterAge(self._revision, age_s, self._is_first)

    def apply_settings(self) -> None:
        """Reset the age if the roster or policy in force has a new revision."""
        view = self._state.view
        revision = self._state.ownership_revision
        if view.roster is None or revision == self._revision:
            return
        ownership = (
            frozenset(view.roster.vms_by_id),
            view.policy.share_spread,
        )
        if self._ownership not in {None, ownership}:
            self._is_first = False
            self._is_previous_roster_excluded = False
        self._ownership = ownership
        self._revision = revision
        self._activated_at = self._clock()
        self._first_roster_vm_ids.clear()

    def update_peer(self, vm_id: str, reported: RosterAge | None) -> None:
        """Apply the roster age reported by a VM.

        A report for another revision is ignored. `vm_id` is empty for a seed
        peer, whose id is not known.
        """
        if reported is None or reported.revision != self._revision:
            return
        age_s = reported.age_s * CLOCK_RATE_MARGIN
        self._activated_at = min(self._activated_at, self._clock() - age_s)
        if reported.is_first:
            self._first_roster_vm_ids.add(vm_id)
        else:
            self._is_first = False
        self.on_activation(self._activated_at)

    async def run(self) -> None:
        """Query peers until the shares owned at start may be used."""
        while not self._is_wait_over():
            async with anyio.create_task_group() as tasks:
                for vm_id, peer in self._select_peers():
                    tasks.start_soon(self._query, vm_id, peer)
            if not self._is_wait_over():
                await anyio.sleep(_ROUND_INTERVAL_S)
        # Answers open polls of local processes, so that they receive the age
        # of the roster now and not at the timeout of their polls.
        self._state.mark_changed()

    async def _query(self, vm_id: str, peer: Endpoint) -> None:
        settings = await self._puller.pull_settings(peer)
        if settings is not None:
            self.update_peer(vm_id, settings.roster_age)

    def _select_peers(self) -> list[tuple[str, Endpoint]]:
        roster = self._state.view.roster
        entries = roster.vms_by_id if roster else {}
        others = sorted(
            set(entries) - {self._vm_id, *self._first_roster_vm_ids}
        )
        chosen = self._random.sample(others, min(_PEERS_PER_ROUND, len(others)))
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

    def _is_wait_over(self) -> bool:
        if self._ownership is None:
            return False
        if self._has_no_previous_roster(self._ownership[0]):
            self._is_previous_roster_excluded = True
            self.on_activation(-math.inf)
            return True
        return self.age_s >= self._state.view.policy.handover_seconds

    def _has_no_previous_roster(self, roster_ids: frozenset[str]) -> bool:
        known = {self._vm_id, *self._first_roster_vm_ids}
        listed = self._state.live.state_by_vm
        return (
            self._is_first and roster_ids <= known and roster_ids >= set(listed)
        )


def _ignore_activation(activated_at: float) -> None:
    """Ignore the activation time; default of `on_activation`."""
