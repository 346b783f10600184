"""Random faults at a constant burst, checked against the exact bound.

Demand always exceeds the rate, so that every token is used. Each fault is
repeated often enough that the admissions would exceed the burst if one check
of the limiter were missing.
"""

import dataclasses
import enum
import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from jacinthcart_lab._virtual_time import run_in_virtual_time
from jacinthcart_lab.limits_experiment import (
    VM_COUNT,
    VM_IDS,
    WORKSPACE_ID,
)
from jacinthcart_lab.limits_fleet import SimulatedFleet, SimulatedVm
from jacinthcart_lab.limits_oracle import compute_exact_excess
from jacinthcart_lab.limits_tight_settings import BURST, RATE, FleetSettings

#: At this rate, the permit lifetime is 0.25 s.
_LOW_RATE = 10.0
#: At this rate, buckets fill in less than 0.1 s.
_HIGH_RATE = 1000.0
_FILL_S = 1.2
#: Requests per second.
_DEMAND = 200
_WAVE_SIZE = 250
_DEFAULT_DELAYS_S = (0.0003, 0.0015)
_MAX_DELAY_S = 0.15
_MAX_LOCAL_DELAY_S = 0.02
_MAX_LOSS = 0.5
_ROUND_S = 1.0
_RESTART_ROUNDS = 4
_RESTART_INTERVAL_S = 0.02
_LONG_PAUSES_S = (0.9, 1.2)
_SHORT_PAUSES_S = (0.1, 0.15)
_RESTART_FRACTION = 0.8
_SLOW_FRACTION = 0.5
_SLOW_DELAYS_S = (0.02, 0.04)
_WAVE_S = 0.1


class TightFault(enum.StrEnum):
    """Fault to inject into the fleet."""

    NONE = 'none'
    RESTART_VM = 'restart_vm'
    RESTART_ALL = 'restart_all'
    PAUSE_VM = 'pause_vm'
    PAUSE_ALL = 'pause_all'
    SPLIT = 'split'
    DISTURB_DATAGRAMS = 'disturb_datagrams'
    CHANGE_ROSTER = 'change_roster'
    CHANGE_RATE = 'change_rate'


@dataclasses.dataclass(frozen=True)
class TightResult:
    """Measurements of a run."""

    #: Number of responses and sent datagrams.
    steps: int
    #: Number of admitted requests.
    admitted: int
    #: Largest excess over rate and burst in any window, in requests.
    excess: float


def run_tight(seed: int, faults: list[TightFault]) -> TightResult:
    """Inject the faults in virtual time and check every window."""
    return run_in_virtual_time(_run, seed, faults, seed=seed)


def draw_tight_faults(rng: random.Random, count: int) -> list[TightFault]:
    """Return random faults."""
    return [rng.choice(list(TightFault)) for _ in range(count)]


async def _run(seed: int, faults: list[TightFault]) -> TightResult:
    async with anyio.create_task_group() as tasks:
        run = _TightRun(tasks, random.Random(seed))
        await run.run(faults)
        tasks.cancel_scope.cancel()
    fleet = run.fleet
    responses = len(fleet.admitted_at) + len(fleet.refused_at)
    return TightResult(
        responses + sum(fleet.network.sent_by_kind.values()),
        len(fleet.admitted_at),
        compute_exact_excess(
            fleet.admitted_at,
            run.settings.rate_changes,
            BURST,
        ),
    )


class _TightRun:
    """Injects the faults sequentially."""

    def __init__(self, tasks: TaskGroup, rng: random.Random) -> None:
        self._tasks = tasks
        self._rng = rng
        self.fleet = SimulatedFleet(list(VM_IDS), tasks, rng)
        self.settings = FleetSettings(self.fleet, tasks, rng)
        self._target_vms = self.fleet.vms

    async def run(self, faults: list[TightFault]) -> None:
        """Send requests and inject the faults."""
        for vm in self.fleet.vms:
            self.settings.start_vm(vm)
        self.settings.put_rate(RATE)
        await anyio.sleep(_FILL_S)
        self._tasks.start_soon(
            self.fleet.send_requests,
            WORKSPACE_ID,
            _DEMAND,
            lambda: self._rng.choice(self._target_vms),
        )
        for fault in faults:
            self._choose_conditions()
            await self._get_injector(fault)()
            await anyio.sleep(self._rng.uniform(0, _ROUND_S))

    def _choose_conditions(self) -> None:
        """Choose the VMs that get requests and the network conditions."""
        network = self.fleet.network
        local_delay_s = self._rng.uniform(0, _MAX_LOCAL_DELAY_S)
        network.local_delay_s = local_delay_s
        network.duplication = self._rng.randint(0, 1)
        target_count = self._rng.choice((1, 1, VM_COUNT))
        self._target_vms = self._rng.sample(self.fleet.vms, target_count)

    def _get_injector(self, fault: TightFault) -> Callable[[], Awaitable[None]]:
        return {
            TightFault.NONE: self._reset_network,
            TightFault.RESTART_VM: self._restart_vm,
            TightFault.RESTART_ALL: self._restart_all,
            TightFault.PAUSE_VM: self._pause_vm,
            TightFault.PAUSE_ALL: self._pause_after_wave,
            TightFault.SPLIT: self._split,
            TightFault.DISTURB_DATAGRAMS: self._disturb_datagrams,
            TightFault.CHANGE_ROSTER: self._change_roster,
            TightFault.CHANGE_RATE: self._change_rate,
        }[fault]

    async def _reset_network(self) -> None:
        network = self.fleet.network
        network.side_by_vm = {}
        network.loss = 0
        network.delay_range_s = _DEFAULT_DELAYS_S
        await anyio.sleep(_ROUND_S)

    async def _restart_vm(self) -> None:
        vm = self._rng.choice(self.fleet.vms)
        vm.kill()
        await anyio.sleep(self._rng.uniform(0, _ROUND_S))
        self.settings.start_vm(vm)

    async def _restart_all(self) -> None:
        self.fleet.network.local_delay_s = 0
        self._target_vms = self.fleet.vms
        for _ in range(_RESTART_ROUNDS):
            for vm in self.fleet.vms:
                self.settings.restart_control(vm)
            self._send_wave()
            await anyio.sleep(_RESTART_INTERVAL_S)

    async def _pause_vm(self) -> None:
        vm = self._rng.choice(self.fleet.vms)
        await self._pause([vm], _LONG_PAUSES_S)

    async def _pause_after_wave(self) -> None:
        """Let the buckets fill while granted permits are in transit."""
        await self._pause(self.fleet.vms, _LONG_PAUSES_S)
        if self._rng.random() < _SLOW_FRACTION:
            self.fleet.network.delay_range_s = _SLOW_DELAYS_S
        self._send_wave()
        await anyio.sleep(self._rng.uniform(0, _WAVE_S))
        await self._pause(self.fleet.vms, _LONG_PAUSES_S)

    async def _change_rate(self) -> None:
        """Raise the rate while permits of the low rate are in transit."""
        await self._pause(self.fleet.vms, _LONG_PAUSES_S)
        self.settings.put_rate(_LOW_RATE)
        network = self.fleet.network
        network.local_delay_s = _MAX_LOCAL_DELAY_S / 2
        self._target_vms = self.fleet.vms
        self._send_wave()
        await anyio.sleep(self._rng.uniform(0, _MAX_LOCAL_DELAY_S))
        self.settings.put_rate(_HIGH_RATE)
        await self._pause(self.fleet.vms, _SHORT_PAUSES_S)
        await anyio.sleep(_SHORT_PAUSES_S[0])
        self.settings.put_rate(RATE)

    async def _change_roster(self) -> None:
        """Change the roster and restart VMs during the handover."""
        self._target_vms = self.fleet.vms
        for vm in self.settings.change_roster():
            if self._rng.random() < _RESTART_FRACTION:
                self.settings.restart_control(vm)
        await anyio.sleep(_ROUND_S * 2)

    def _send_wave(self) -> None:
        for _ in range(_WAVE_SIZE):
            vm = self._rng.choice(self._target_vms)
            self._tasks.start_soon(self.fleet.call, vm, WORKSPACE_ID)

    async def _pause(
        self,
        vms: list[SimulatedVm],
        range_s: tuple[float, float],
    ) -> None:
        for vm in vms:
            vm.pause()
        await anyio.sleep(self._rng.uniform(*range_s))
        for paused in vms:
            paused.resume()

    async def _split(self) -> None:
        isolated = self._rng.sample(self.fleet.vms, VM_COUNT // 2)
        self.fleet.network.side_by_vm = {vm.vm_id: 1 for vm in isolated}

    async def _disturb_datagrams(self) -> None:
        network = self.fleet.network
        network.loss = self._rng.uniform(0, _MAX_LOSS)
        network.delay_range_s = (0, self._rng.uniform(0, _MAX_DELAY_S))
