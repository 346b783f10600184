"""Rosters and rates of a simulated fleet, with the times of rate changes."""

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
#: Seconds until a revision has reached every VM; less than the handover time.
_MAX_PROPAGATION_S = 2.8


class FleetSettings:
    """Applies settings to the VMs of a fleet."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Start with every VM in the roster."""
        #: Each change is a time in seconds and the rate from then on.
        self.rate_changes: list[tuple[float, float]] = []
        self._fleet = fleet
        self._tasks = tasks
        self._rng = rng
        self._revision = 0
        self._roster: Sequence[str] = VM_IDS
        self._roster_active_since = float('-inf')
        self._rate = RATE
        self._view = self._create_view()
        self._revision_by_vm: dict[str, int] = {}

    def start_vm(self, vm: SimulatedVm) -> None:
        """Start both programs with the activation time of the roster."""
        vm.start(self._view, self._roster_active_since)
        self._revision_by_vm[vm.vm_id] = self._view.revision

    def restart_control(self, vm: SimulatedVm) -> None:
        """Replace control; the entry keeps running."""
        vm.kill_control()
        vm.start_control(self._view, self._roster_active_since)
        self._revision_by_vm[vm.vm_id] = self._view.revision

    def put_rate(self, rate: float) -> None:
        """Apply a rate to all VMs at the same time."""
        self._rate = rate
        self._view = self._create_view()
        for vm in self._fleet.vms:
            self._apply(vm, self._view)
        self.rate_changes.append((anyio.current_time(), rate))

    def change_roster(self) -> list[SimulatedVm]:
        """Change the roster and return its VMs, which apply it at once.

        The former owners apply it late within the handover time. A paused
        VM applies it before it does anything else, as its leases require.
        Each roster is the half of the fleet that the previous one excluded.
        """
        others = [vm_id for vm_id in VM_IDS if vm_id not in self._roster]
        half = self._rng.sample(VM_IDS, len(VM_IDS) // 2)
        self._roster = others or half
        self._roster_active_since = anyio.current_time()
        self._view = self._create_view()
        owners = []
        for vm in self._fleet.vms:
            if vm.vm_id in self._roster:
                owners.append(vm)
                self._apply(vm, self._view)
            else:
                self._tasks.start_soon(self._propagate, vm, self._view)
        return owners

    async def _propagate(self, vm: SimulatedVm, view: SettingsView) -> None:
        earliest_s = _MAX_PROPAGATION_S / 2
        await anyio.sleep(self._rng.uniform(earliest_s, _MAX_PROPAGATION_S))
        self._apply(vm, view)

    def _apply(self, vm: SimulatedVm, view: SettingsView) -> None:
        current_revision = self._revision_by_vm[vm.vm_id]
        if vm.control is not None and view.revision > current_revision:
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
