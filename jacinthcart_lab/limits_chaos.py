"""Random faults against a simulated fleet of rate limiters."""

import dataclasses
import enum
import itertools
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.settings import SettingsView
from jacinthcart_lab._virtual_time import run_in_virtual_time
from jacinthcart_lab.limits_experiment import (
    VM_COUNT,
    WORKSPACE_ID,
    create_view,
)
from jacinthcart_lab.limits_fleet import SimulatedFleet, SimulatedVm
from jacinthcart_lab.limits_oracle import LimitInForce, compute_excess

#: Rates and bursts among which the settings change.
LIMITS = (
    (200, 200),
    (800, 400),
    (50, 100),
    (400, 40),
    (1000, 10),
)
#: Maximum permit lifetime of these settings, in seconds.
_PERMIT_LIFETIME_S = 0.25
_FILL_S = 1.0
_MAX_PAUSE_S = 2.5
_MAX_OUTAGE_S = 1.0
_MAX_PROPAGATION_S = 0.3
_MAX_DELAY_S = 0.5
_DEFAULT_DELAYS_S = (0.0003, 0.0015)
#: Additional requests per second to one VM.
_HOT_VM_RATE = 200
#: Concurrent requests to random VMs, enough to empty every bucket repeatedly.
_WAVE_SIZE = 250
_WAVE_INTERVAL_S = 0.2


_Injector = Callable[['FaultStep'], Coroutine[Any, Any, None]]


class Fault(enum.StrEnum):
    """Fault to inject into the fleet."""

    KILL_VM = 'kill_vm'
    KILL_CONTROL = 'kill_control'
    KILL_ALL_CONTROLS = 'kill_all_controls'
    PAUSE = 'pause'
    SPLIT = 'split'
    HEAL = 'heal'
    LOSE_DATAGRAMS = 'lose_datagrams'
    DELAY_DATAGRAMS = 'delay_datagrams'
    CHANGE_LIMITS_TWICE = 'change_limits_twice'


@dataclasses.dataclass(frozen=True)
class FaultStep:
    """A fault and the time since the previous one."""

    #: Seconds since the previous fault.
    gap_s: float
    #: Fault to inject.
    fault: Fault
    #: Number of the affected VM.
    vm_number: int
    #: Severity from 0 to 1: duration, probability or fraction of the fleet.
    amount: float


@dataclasses.dataclass(frozen=True)
class ChaosResult:
    """Measurements of a run under faults."""

    #: Number of responses and sent datagrams.
    steps: int
    #: Number of admitted requests.
    admitted: int
    #: Largest excess over rate and burst in any window, in requests.
    excess: float


def run_chaos(seed: int, faults: Sequence[FaultStep]) -> ChaosResult:
    """Inject the faults in virtual time and check every window."""
    return run_in_virtual_time(_run, seed, faults, seed=seed)


def draw_faults(rng: random.Random, count: int) -> list[FaultStep]:
    """Return random faults."""
    return [
        FaultStep(
            rng.uniform(0, 1),
            rng.choice(list(Fault)),
            rng.randrange(VM_COUNT),
            rng.random(),
        )
        for _ in range(count)
    ]


async def _run(seed: int, faults: Sequence[FaultStep]) -> ChaosResult:
    async with anyio.create_task_group() as tasks:
        chaos = _Chaos(tasks, random.Random(seed))
        await chaos.run(faults)
        tasks.cancel_scope.cancel()
    fleet = chaos.fleet
    responses = len(fleet.admitted_at) + len(fleet.refused_at)
    return ChaosResult(
        responses + sum(fleet.network.sent_by_kind.values()),
        len(fleet.admitted_at),
        compute_excess(
            fleet.admitted_at,
            chaos.record.limits,
            _PERMIT_LIFETIME_S,
        ),
    )


class _LimitsRecord:
    """Records when each VM used which rate and burst."""

    def __init__(self) -> None:
        self.limits: list[LimitInForce] = []
        self._in_force_by_vm: dict[str, tuple[float, SettingsView]] = {}

    def record_start(self, vm: SimulatedVm, view: SettingsView) -> None:
        """Record that a VM starts using `view` now."""
        self.record_end(vm)
        self._in_force_by_vm[vm.vm_id] = (anyio.current_time(), view)

    def record_end(self, vm: SimulatedVm) -> None:
        """Record that a VM stops using its settings now."""
        started = self._in_force_by_vm.pop(vm.vm_id, None)
        if started is not None:
            start, view = started
            workspace = view.workspaces_by_id[WORKSPACE_ID]
            limit = LimitInForce(
                start,
                anyio.current_time(),
                workspace.rate,
                workspace.burst,
            )
            self.limits.append(limit)

    def get_revision(self, vm: SimulatedVm) -> int:
        """Return the revision of the settings that a VM uses."""
        return self._in_force_by_vm[vm.vm_id][1].revision


class _Chaos:
    """Injects faults and records which limits are in force."""

    def __init__(self, tasks: TaskGroup, rng: random.Random) -> None:
        self._tasks = tasks
        self._rng = rng
        self._revisions = itertools.count(1)
        self._view = self._create_view(LIMITS[0])
        roster = self._view.roster
        vm_ids = list(roster.vms_by_id) if roster else []
        self.fleet = SimulatedFleet(vm_ids, tasks, rng)
        self.fleet.network.duplication = 0.05
        self.record = _LimitsRecord()

    async def run(self, faults: Sequence[FaultStep]) -> None:
        """Send requests to all VMs, with more to one, and inject the faults."""
        for vm in self.fleet.vms:
            vm.start(self._view)
            self.record.record_start(vm, self._view)
        await anyio.sleep(_FILL_S)
        hot_vm = self.fleet.vms[0]
        self._tasks.start_soon(
            self.fleet.send_requests,
            WORKSPACE_ID,
            _HOT_VM_RATE,
            lambda: hot_vm,
        )
        self._tasks.start_soon(self._send_waves)
        for step in faults:
            await anyio.sleep(step.gap_s)
            await self._inject(step)
        await anyio.sleep(_MAX_PAUSE_S)

        for vm in self.fleet.vms:
            self.record.record_end(vm)

    async def _send_waves(self) -> None:
        while True:
            for _ in range(_WAVE_SIZE):
                vm = self._rng.choice(self.fleet.vms)
                self._tasks.start_soon(self.fleet.call, vm, WORKSPACE_ID)
            await anyio.sleep(_WAVE_INTERVAL_S)

    async def _inject(self, step: FaultStep) -> None:
        injectors: dict[Fault, _Injector] = {
            Fault.KILL_VM: self._restart_vm,
            Fault.KILL_CONTROL: self._restart_control,
            Fault.KILL_ALL_CONTROLS: self._restart_all_controls,
            Fault.PAUSE: self._pause,
            Fault.CHANGE_LIMITS_TWICE: self._change_limits_twice,
        }
        inject = injectors.get(step.fault)
        if inject is None:
            self._disturb_network(step)
        else:
            self._tasks.start_soon(inject, step)

    def _disturb_network(self, step: FaultStep) -> None:
        network = self.fleet.network
        if step.fault is Fault.SPLIT:
            count = int(step.amount * VM_COUNT)
            isolated = self._rng.sample(self.fleet.vms, count)
            network.side_by_vm = {vm.vm_id: 1 for vm in isolated}
        elif step.fault is Fault.HEAL:
            network.side_by_vm = {}
            network.loss = 0
            network.delay_range_s = _DEFAULT_DELAYS_S
        elif step.fault is Fault.LOSE_DATAGRAMS:
            network.loss = step.amount / 2
        else:
            network.delay_range_s = (0, step.amount * _MAX_DELAY_S)

    async def _restart_vm(self, step: FaultStep) -> None:
        vm = self.fleet.vms[step.vm_number]
        vm.kill()
        self.record.record_end(vm)
        await anyio.sleep(step.amount * _MAX_OUTAGE_S)
        if vm.control is None:
            vm.start(self._view)
            self.record.record_start(vm, self._view)

    async def _restart_control(self, step: FaultStep) -> None:
        self._replace_control(self.fleet.vms[step.vm_number])

    async def _restart_all_controls(self, step: FaultStep) -> None:
        await anyio.sleep(step.amount)
        for vm in self.fleet.vms:
            self._replace_control(vm)

    def _replace_control(self, vm: SimulatedVm) -> None:
        if vm.control is not None:
            vm.kill_control()
            self.record.record_end(vm)
            vm.start_control(self._view)
            self.record.record_start(vm, self._view)

    async def _pause(self, step: FaultStep) -> None:
        vm = self.fleet.vms[step.vm_number]
        vm.pause()
        await anyio.sleep(step.amount * _MAX_PAUSE_S)
        vm.resume()

    async def _change_limits_twice(self, step: FaultStep) -> None:
        self._change_limits()
        await anyio.sleep(step.amount)
        self._change_limits()

    def _change_limits(self) -> None:
        self._view = self._create_view(self._rng.choice(LIMITS))
        for vm in self.fleet.vms:
            self._tasks.start_soon(self._propagate, vm, self._view)

    async def _propagate(self, vm: SimulatedVm, view: SettingsView) -> None:
        await anyio.sleep(self._rng.uniform(0, _MAX_PROPAGATION_S))
        await vm.wait_until_resumed()
        if vm.control is None:
            return
        if self.record.get_revision(vm) < view.revision:
            vm.control.ledger.apply_settings(view)
            self.record.record_start(vm, view)

    def _create_view(self, limit: tuple[int, int]) -> SettingsView:
        rate, burst = limit
        return create_view(
            rate,
            burst,
            next(self._revisions),
            handover_seconds=_MAX_PAUSE_S * 2,
        )
