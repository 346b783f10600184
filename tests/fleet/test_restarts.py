"""Tests of VMs that restart after their clock was set back."""

import itertools
import unittest
from typing import Any

import anyio

from jacinthcart.fleet import MemberRecord, MemberState
from jacinthcart.fleet._messages import decode_fleet_message
from tests.fleet.support import FakeNetwork, FakeVm, UnreliableNetwork
from tests.support import create_member, run_in_virtual_time

_DISCOVERY_S = 2.0
_FORMER_INCARNATION = 1_000_000


class RestartTests(unittest.TestCase):
    """A lower incarnation than the predecessor's is made known in time."""

    def test_predecessor_is_alive_in_the_tables(self) -> None:
        """Guards against records of a process that no longer exists."""
        self._check(MemberState.ALIVE)

    def test_predecessor_is_suspected_in_the_tables(self) -> None:
        """Guards against a live VM that gets no callers after a crash."""
        self._check(MemberState.SUSPECT)

    def test_predecessor_is_leaving_in_the_tables(self) -> None:
        """Guards against a live VM that gets no callers after a shutdown."""
        self._check(MemberState.LEAVING)

    def _check(self, state: MemberState) -> None:
        for count, loss in itertools.product((4, 8, 60), (0, 0.05)):
            with self.subTest(count=count, loss=loss):
                fleet = run_in_virtual_time(_restart, state, count, loss)
                self.assertEqual(fleet.known_states, {state})
                self.assertEqual(fleet.outdated, [])


class _RestartedFleet:
    """A fleet whose last VM, no seed, ends and starts again."""

    def __init__(self, network: UnreliableNetwork, count: int) -> None:
        """Add the VMs to the network."""
        self.network = network
        self.address = f'10.0.0.{count}'
        self.data_centre = f'zone-{count % 3}'
        for number in range(1, count + 1):
            FakeVm(network, f'10.0.0.{number}', f'zone-{number % 3}')
        self.former = network.vms[self.address]
        self.former.members.own = create_member(
            self.address,
            data_centre=self.data_centre,
            incarnation=_FORMER_INCARNATION,
        )
        self.former_scope = anyio.CancelScope()
        #: States of the former process on the others as the new one starts.
        self.known_states: set[MemberState | None] = set()
        #: Others that do not know the new process in time.
        self.outdated: list[str] = []

    async def run_former(self) -> None:
        """Run the former process until it ends."""
        with self.former_scope:
            await self.former.gossip.run()

    async def end_former(self, state: MemberState) -> None:
        """End the former process and wait until its state is known."""
        if state is MemberState.LEAVING:
            self.former.members.leave()
            await self.former.gossip.announce()
            await anyio.sleep(0.5)
        self.former_scope.cancel()
        self.network.cut.add(self.address)
        await anyio.sleep(3 if state is MemberState.SUSPECT else 0.1)
        self.network.cut.clear()
        self.known_states = {
            record and record.state for record in self._find_records().values()
        }

    async def run_new(self) -> None:
        """Start the new process, whose clock was set back, and judge."""
        started = FakeVm(self.network, self.address, self.data_centre)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(started.gossip.run)
            await anyio.sleep(_DISCOVERY_S)
            own = started.members.own
            self.outdated = [
                f'{address}: {record}'
                for address, record in self._find_records().items()
                if record != own
            ]
            tasks.cancel_scope.cancel()

    def _find_records(self) -> dict[str, MemberRecord | None]:
        return {
            address: vm.members.log.get_record(self.address)
            for address, vm in self.network.vms.items()
            if address != self.address
        }


async def _restart(
    state: MemberState, count: int, loss_fraction: float
) -> _RestartedFleet:
    async with anyio.create_task_group() as tasks:
        network = UnreliableNetwork(tasks, loss_fraction)
        fleet = _RestartedFleet(network, count)
        for address, vm in network.vms.items():
            if address != fleet.address:
                tasks.start_soon(vm.gossip.run)
        tasks.start_soon(fleet.run_former)
        await anyio.sleep(8)
        await fleet.end_former(state)
        await fleet.run_new()
        tasks.cancel_scope.cancel()
    return fleet


class PingNumberTests(unittest.TestCase):
    """Acknowledgements belong to the process that sent the ping."""

    def test_acknowledgement_for_a_former_process_is_ignored(self) -> None:
        """Guards against a proof that seems newer than it is."""
        former, current = run_in_virtual_time(_ping_after_a_restart)
        self.assertTrue(former.isdisjoint(current))


async def _ping_after_a_restart() -> tuple[set[int], set[int]]:
    """Return the numbers of the pings of a process and of its successor."""
    numbers = []
    for _ in range(2):
        network = RecordingNetwork()
        vm = FakeVm(network, '10.0.0.4', 'zone-1')
        with anyio.move_on_after(2):
            await vm.gossip.run()
        numbers.append(network.ping_numbers)
    return numbers[0], numbers[1]


class RecordingNetwork(FakeNetwork):
    """Records the numbers of pings and delivers none."""

    def __init__(self) -> None:
        """Start without pings."""
        super().__init__()
        self.ping_numbers: set[int] = set()

    async def deliver(
        self, source: str, target: str, message: dict[str, Any]
    ) -> None:
        """Record the number of a ping."""
        self.ping_numbers.add(decode_fleet_message(message).seq)
