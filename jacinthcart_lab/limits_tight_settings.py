"""Rosters and rates of a simulated fleet, and when they changed."""

import random
from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup

from jacinthcart.settings import SettingsView
from jacinthcart_lab.limits_experiment import VM_IDS, create_view
from jacinthcart_lab.limits_fleet import SimulatedFleet, SimulatedVm

BURST = 100
RATE = 100.0
_HANDOVER_S = 3.0
#: Every VM has a revision in force within the handover time.
_LONGEST_SPREAD_S = 2.8


class FleetSettings:
    """Puts settings in force on the VMs of a fleet."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Start with every VM in the roster."""
        #: Time in seconds from which a rate applies, and the rate.
        self.rate_changes: list[tuple[float, float]] = []
        self._fleet = fleet
        self._tasks = tasks
        self._rng = rng
        self._revision = 0
        self._roster: Sequence[str] = VM_IDS
        self._roster_since = float('-inf')
        self._rate = RATE
        self._view = self._create_view()
        self._revision_by_vm: dict[str, int] = {}

    def start_vm(self, vm: SimulatedVm) -> None:
        """Start both programs, with the age of the roster known."""
        vm.start(self._view, self._roster_since)
        self._revision_by_vm[vm.vm_id] = self._view.revision

    def restart_control(self, vm: SimulatedVm) -> None:
        """Replace control; the entry goes on."""
        vm.kill_control()
        vm.start_control(self._view, self._roster_since)
        self._revision_by_vm[vm.vm_id] = self._view.revision

    def put_rate(self, rate: float) -> None:
        """Put a rate in force on all VMs at once."""
        self._rate = rate
        self._view = self._create_view()
        for vm in self._fleet.vms:
            self._apply(vm, self._view)
        self.rate_changes.append((anyio.current_time(), rate))

    def change_roster(self) -> list[SimulatedVm]:
        """Put a roster in force; return its VMs, which have it at once.

        The former owners learn of it late within the handover time. A
        paused VM takes it before it does anything else, as its leases
        demand. Each roster is the half of the fleet that the
        one before left out.
        """
        others = [vm_id for vm_id in VM_IDS if vm_id not in self._roster]
        half = self._rng.sample(VM_IDS, len(VM_IDS) // 2)
        self._roster = others or half
        self._roster_since = anyio.current_time()
        self._view = self._create_view()
        owners = []
        for vm in self._fleet.vms:
            if vm.vm_id in self._roster:
                owners.append(vm)
                self._apply(vm, self._view)
            else:
                self._tasks.start_soon(self._spread, vm, self._view)
        return owners

    async def _spread(self, vm: SimulatedVm, view: SettingsView) -> None:
        earliest_s = _LONGEST_SPREAD_S / 2
        await anyio.sleep(self._rng.uniform(earliest_s, _LONGEST_SPREAD_S))
        self._apply(vm, view)

    def _apply(self, vm: SimulatedVm, view: SettingsView) -> None:
        known = self._revision_by_vm[vm.vm_id]
        if vm.control is not None and view.revision > known:
            vm.control.ledger.apply_settings(view)
            self._revision_by_vm[vm.vm_id] = view.revision

    def _create_view(self) -> SettingsView:
        self._revision += 1
        return create_view(
            self._rate,
            BURST,
            self._revision,
            self._roster,
            handover_seconds=_HANDOVER_S,
        )
