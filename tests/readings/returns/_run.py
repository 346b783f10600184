"""Plays a schedule and checks every VM against what the store has held."""

import dataclasses
import random
from unittest import mock

import anyio
from anyio.abc import TaskGroup

from jacinthcart_lab import _virtual_time as virtual_time
from tests.readings.returns._checks import REPUBLISH_S, Checks, Violation
from tests.readings.returns._network import ModelNetwork
from tests.readings.returns._schedule import Schedule, Step, StepKind
from tests.readings.returns._store import ModelStore
from tests.readings.returns._vm import ModelConnection, ModelVm
from tests.readings.returns._writers import (
    DATA_CENTRES,
    ModelSearcher,
    Operator,
)

_SEARCHERS = 10
#: Seconds until the VMs, which know each other, have copied the store.
_START_S = 2.0
_CHECK_INTERVAL_S = 0.25
_SETTLE_INTERVAL_S = 0.1
#: Larger fleets end after the last disturbance, to save processor time.
_MAX_VMS_WITH_QUIET_WRITES = 60
#: Seconds in which all writers must have written again.
_MAX_SETTLE_S = 30.0


@dataclasses.dataclass(frozen=True)
class RunResult:
    """What a run has shown."""

    violations: tuple[Violation, ...]
    returns: int
    store_calls: int
    seconds: float


def run_schedule(schedule: Schedule) -> RunResult:
    """Play a schedule in virtual time."""
    with mock.patch(
        'jacinthcart.readings._pull.HttpConnection', ModelConnection
    ):
        return virtual_time.run_in_virtual_time(
            _play, schedule, seed=schedule.seed
        )


async def _play(schedule: Schedule) -> RunResult:
    async with anyio.create_task_group() as tasks:
        fleet = ModelFleet(schedule, tasks)
        await fleet.play()
        tasks.cancel_scope.cancel()
    return RunResult(
        tuple(fleet.checks.violations),
        len(fleet.store.returned_at),
        len(fleet.store.called_at),
        anyio.current_time(),
    )


class ModelFleet:
    """The store, its writers and the VMs of one run."""

    def __init__(self, schedule: Schedule, tasks: TaskGroup) -> None:
        """Create the parts; `play` starts them."""
        self._schedule = schedule
        self._tasks = tasks
        source = random.Random(f'fleet {schedule.seed}/{schedule.vms}')
        self._random = source
        self.store = ModelStore(schedule.store, source)
        self._network = ModelNetwork(self.store, tasks, source)
        ModelConnection.network = self._network
        self._operator = Operator(self.store, source)
        self._searchers = [
            ModelSearcher(number, self.store, source)
            for number in range(_SEARCHERS)
        ]
        self._addresses = [
            f'10.0.{number // 200}.{number % 200 + 1}'
            for number in range(schedule.vms)
        ]
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._faults = 0
        self._disturbed_at = 0.0
        self.checks = Checks(
            schedule,
            self.store,
            self._network,
            self._operator.version_by_withdrawn_key,
        )

    async def play(self) -> None:
        """Play all steps, then check that the fleet has converged."""
        await self._operator.write_config()
        for searcher in self._searchers:
            await searcher.publish()
        for address in self._addresses:
            self._start_vm(address)
        self._introduce_members()
        self._tasks.start_soon(self._check_regularly)
        await anyio.sleep(_START_S)
        for step in self._schedule.steps:
            self._tasks.start_soon(self._take_step, step)
            await anyio.sleep(step.gap_s)
        await self._settle()
        await self._check_converged('after the last disturbance')
        if self._schedule.vms <= _MAX_VMS_WITH_QUIET_WRITES:
            await self._write_to_quiet_fleet()

    async def _write_to_quiet_fleet(self) -> None:
        """Check that a write of each kind is in force within its bound."""
        data_centre = self._random.choice(DATA_CENTRES)
        self._operator.change_config(withdraws_key=True)
        await self._operator.write_config()
        self._operator.evacuated.add(data_centre)
        await self._operator.write_evacuations()
        ready = [one for one in self._searchers if one.is_offered]
        if ready:
            await ready[0].drain()
        await self._check_converged('after a write to a quiet fleet')
        self.checks.check_evacuated('after its start', data_centre, True)
        self._operator.evacuated.remove(data_centre)
        await self._operator.write_evacuations()
        await anyio.sleep(self._schedule.bound_s)
        self.checks.check_evacuated('after its end', data_centre, False)

    async def _check_regularly(self) -> None:
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            self.checks.check_moment()

    async def _settle(self) -> None:
        with anyio.move_on_after(_MAX_SETTLE_S):
            while self._faults or not self._is_written():
                self._disturbed_at = anyio.current_time()
                await anyio.sleep(_SETTLE_INTERVAL_S)

    def _is_written(self) -> bool:
        return self._operator.is_settled() and all(
            searcher.is_settled() for searcher in self._searchers
        )

    async def _check_converged(self, when: str) -> None:
        last = max(self._disturbed_at, self.store.moments[-1].at)
        await anyio.sleep_until(last + self._schedule.bound_s)
        offered = {
            one.searcher_id: one.data_centre
            for one in self._searchers
            if one.is_offered
            and one.data_centre not in self._operator.evacuated
        }
        gone = frozenset(
            one.searcher_id for one in self._searchers if not one.is_alive
        )
        self.checks.check_versions(when, self._operator.version)
        evacuated = frozenset(self._operator.evacuated)
        self.checks.check_searchers(when, offered, evacuated, lapsed=gone)
        await anyio.sleep(REPUBLISH_S)
        self.checks.check_searchers(when, offered, evacuated)

    async def _take_step(self, step: Step) -> None:
        self._faults += 1
        self._disturbed_at = anyio.current_time()
        try:
            await self._apply(step)
        finally:
            self._faults -= 1
            self._disturbed_at = anyio.current_time()

    async def _apply(self, step: Step) -> None:
        apply_by_kind = {
            StepKind.CONFIG: self._change_config,
            StepKind.EVACUATION: self._change_evacuation,
            StepKind.SEARCHER_DRAIN: self._apply_to_searcher,
            StepKind.SEARCHER_EXIT: self._apply_to_searcher,
            StepKind.SEARCHER_RESTART: self._apply_to_searcher,
            StepKind.RETURN: self._apply_return,
            StepKind.OUTAGE: self._apply_return,
            StepKind.HISTORY_LOSS: self._forget_history,
            StepKind.PAUSE: self._pause,
            StepKind.PARTITION: self._part,
            StepKind.RESTART: self._restart,
        }
        await apply_by_kind.get(step.kind, self._impair)(step)

    async def _change_config(self, step: Step) -> None:
        self._operator.change_config(withdraws_key=step.flags[0])
        await self._operator.write_config()

    async def _change_evacuation(self, step: Step) -> None:
        self._operator.change_evacuation(
            DATA_CENTRES[step.choice % len(DATA_CENTRES)]
        )
        await self._operator.write_evacuations()

    async def _forget_history(self, step: Step) -> None:
        self.store.forget_history()

    async def _part(self, step: Step) -> None:
        number = step.choice % len(DATA_CENTRES)
        pair = frozenset((DATA_CENTRES[number], DATA_CENTRES[number - 1]))
        self._network.parted.add(pair)
        await anyio.sleep(step.length_s)
        self._network.parted.discard(pair)

    async def _apply_return(self, step: Step) -> None:
        if self.store.is_away:
            return
        self.store.leave(leaves_watches_hanging=step.flags[0])
        await anyio.sleep(step.length_s)
        if step.kind is StepKind.OUTAGE:
            self.store.is_away = False
            return
        self.store.come_back(step.copy_age_s, keeps_history=step.flags[1])
        async with anyio.create_task_group() as writers:
            writers.start_soon(self._operator.write_again)
            for searcher in self._searchers:
                writers.start_soon(searcher.write_again)

    async def _apply_to_searcher(self, step: Step) -> None:
        searcher = self._searchers[step.choice % len(self._searchers)]
        if step.kind is StepKind.SEARCHER_RESTART:
            await searcher.restart()
        elif searcher.is_alive and step.kind is StepKind.SEARCHER_DRAIN:
            await searcher.drain()
        elif searcher.is_alive:
            await searcher.exit()

    def _choose_vms(self, step: Step) -> set[str]:
        choice = random.Random(step.choice)
        count = choice.randint(1, max(1, len(self._addresses) // 3))
        return set(choice.sample(self._addresses, count))

    async def _pause(self, step: Step) -> None:
        chosen = sorted(self._choose_vms(step))
        running = [one for one in chosen if not self._network.is_paused(one)]
        for address in running:
            self._network.pause(address)
        await anyio.sleep(step.length_s)
        for address in running:
            self._network.resume(address)

    async def _impair(self, step: Step) -> None:
        network = self._network
        affected = {
            StepKind.STORE_CUT: network.cut_from_store,
            StepKind.STORE_REJECT: network.rejected_by_store,
            StepKind.STORE_SLOW: network.slow_to_store,
            StepKind.PEER_CUT: network.cut_from_peers,
        }[step.kind]
        added = self._choose_vms(step) - affected
        affected |= added
        await anyio.sleep(step.length_s)
        affected -= added

    async def _restart(self, step: Step) -> None:
        chosen = sorted(self._choose_vms(step))
        stopped = [one for one in chosen if one in self._scopes]
        for address in stopped:
            self._scopes.pop(address).cancel()
            self._network.vm_by_address.pop(address)
        await anyio.sleep(step.length_s)
        for address in stopped:
            self._start_vm(address)

    def _start_vm(self, address: str) -> None:
        number = self._addresses.index(address)
        vm = ModelVm(
            self._network,
            address,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            tuple(self._addresses[:3]),
            random.Random(self._random.getrandbits(30)),
        )
        self._network.vm_by_address[address] = vm
        self.checks.observe(vm)
        scope = anyio.CancelScope()
        self._scopes[address] = scope
        self._tasks.start_soon(_run_in_scope, vm, scope)

    def _introduce_members(self) -> None:
        vms = list(self._network.vm_by_address.values())
        for vm in vms:
            for other in vms:
                vm.members.merge(other.members.own, disseminate=False)


async def _run_in_scope(vm: ModelVm, scope: anyio.CancelScope) -> None:
    with scope:
        await vm.run()
