"""Tests of failure detection in a fleet of 120 VMs.

Each test plays the fleet twice with the same seed: with the detection in use,
and with the one before, in which a VM's own missed pings decided.
"""

import dataclasses
import functools
import statistics
import unittest
from collections.abc import Awaitable, Callable

import anyio

from jacinthcart.fleet import (
    DetectionParameters,
    GossipParameters,
    MemberState,
)
from tests.fleet.support import FakeVm, UnreliableNetwork
from tests.support import run_in_virtual_time

_COUNT = 120
_DATA_CENTRES = 6
_LOSS_FRACTION = 0.005
#: Seconds in which the VMs find each other.
_START_S = 6.0
_VICTIM = '10.0.0.50'
#: Seconds after which a lost VM must not be given out any more: `contact_ms`
#: of a deployment with 195 VMs and three seconds (platform contract).
_MAX_DETECTION_S = 9.0
_CURRENT = DetectionParameters()
_OWN_MISSES_ONLY = DetectionParameters(helpers=0)


@dataclasses.dataclass
class _Observation:
    """What the healthy VMs of a fleet observed."""

    #: Number of times that a healthy VM was wrongly suspected by another
    #: healthy one and had to refute it.
    refutations: int = 0
    #: Number of pairs of healthy VMs of which one suspects the other.
    wrong_pairs: int = 0
    #: Seconds until each healthy VM knew that the victims had failed.
    detected_after_s: list[float] = dataclasses.field(default_factory=list)
    #: Datagrams sent by a VM in a second.
    datagrams_per_s: float = 0


_Scenario = Callable[['_Fleet'], Awaitable[None]]


class _Fleet:
    """A running fleet whose victims are excluded from observations."""

    def __init__(self, network: UnreliableNetwork) -> None:
        """Observe the VMs of `network`."""
        self.network = network
        self.victims: set[str] = set()
        self.observation = _Observation()

    def list_healthy(self) -> list[FakeVm]:
        """Return the VMs that are not victims."""
        return [
            vm
            for address, vm in self.network.vms.items()
            if address not in self.victims
        ]

    async def observe_wrong_suspicions(self, seconds: float) -> None:
        """Count wrong suspicions among the healthy VMs."""
        incarnations = self._sum_incarnations()
        observation = self.observation
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            await anyio.sleep(0.25)
            wrong_pairs = self._count_wrong_pairs()
            observation.wrong_pairs = max(observation.wrong_pairs, wrong_pairs)
        observation.refutations = self._sum_incarnations() - incarnations

    async def observe_detection(self, seconds: float) -> None:
        """Record when each healthy VM suspects all victims."""
        started_at = anyio.current_time()
        unaware = self.list_healthy()
        while unaware and anyio.current_time() < started_at + seconds:
            await anyio.sleep(0.05)
            still_unaware = []
            for vm in unaware:
                alive = {one.address for one in vm.members.list_alive()}
                if alive & self.victims:
                    still_unaware.append(vm)
                else:
                    self.observation.detected_after_s.append(
                        anyio.current_time() - started_at
                    )
            unaware = still_unaware
        self.observation.detected_after_s.extend(seconds for _ in unaware)

    def _sum_incarnations(self) -> int:
        return sum(vm.members.own.incarnation for vm in self.list_healthy())

    def _count_wrong_pairs(self) -> int:
        return sum(
            record.state is MemberState.SUSPECT
            and record.address not in self.victims
            for vm in self.list_healthy()
            for record in vm.members.list_others()
        )


async def _play(
    scenario: _Scenario, detection: DetectionParameters
) -> _Observation:
    async with anyio.create_task_group() as tasks:
        network = UnreliableNetwork(tasks, _LOSS_FRACTION)
        for number in range(1, _COUNT + 1):
            vm = FakeVm(
                network,
                f'10.0.0.{number}',
                f'zone-{number % _DATA_CENTRES}',
                params=GossipParameters(detection=detection),
            )
            tasks.start_soon(vm.gossip.run)
            tasks.start_soon(_renew_proof, vm)
        await anyio.sleep(_START_S)
        fleet = _Fleet(network)
        await scenario(fleet)
        sent = network.sent
        await anyio.sleep(2)
        fleet.observation.datagrams_per_s = (network.sent - sent) / _COUNT / 2
        tasks.cancel_scope.cancel()
    return fleet.observation


async def _renew_proof(vm: FakeVm) -> None:
    # Without a recent proof, a VM sends more pings.
    while True:
        vm.lease.record_own_read(anyio.current_time())
        await anyio.sleep(1)


@functools.cache
def _play_both(scenario: _Scenario) -> tuple[_Observation, _Observation]:
    current = run_in_virtual_time(_play, scenario, _CURRENT)
    previous = run_in_virtual_time(_play, scenario, _OWN_MISSES_ONLY)
    return current, previous


async def _hear_nothing(fleet: _Fleet) -> None:
    fleet.victims = {_VICTIM}
    fleet.network.deaf = {_VICTIM}
    await fleet.observe_wrong_suspicions(6)


async def _block_one_way(fleet: _Fleet) -> None:
    fleet.network.blocked = {('zone-1', 'zone-2')}
    await fleet.observe_wrong_suspicions(6)


async def _lose_one(fleet: _Fleet) -> None:
    fleet.victims = {_VICTIM}
    fleet.network.cut = {_VICTIM}
    await fleet.observe_detection(_MAX_DETECTION_S)


async def _lose_data_centre(fleet: _Fleet) -> None:
    fleet.victims = {
        address
        for address, vm in fleet.network.vms.items()
        if vm.members.own.data_centre == 'zone-3'
    }
    fleet.network.cut = set(fleet.victims)
    await fleet.observe_detection(_MAX_DETECTION_S)


async def _change_nothing(fleet: _Fleet) -> None:
    await fleet.observe_wrong_suspicions(6)


class WrongSuspicionTests(unittest.TestCase):
    """Healthy members are not suspected because of others' troubles."""

    def test_vm_that_hears_nothing_does_not_accuse_others(self) -> None:
        """Guards against members that leave directory answers in turn.

        A VM that could send but not hear told the fleet that each member it
        had pinged was lost, and each had to refute it.
        """
        current, previous = _play_both(_hear_nothing)
        self.assertGreater(previous.refutations, 0)
        self.assertEqual(current.refutations, 0)

    def test_one_way_link_between_data_centres_accuses_nobody(self) -> None:
        """Acknowledgements are lost, but other members reach the accused."""
        current, previous = _play_both(_block_one_way)
        self.assertGreater(previous.refutations, 0)
        self.assertEqual(current.refutations, 0)
        self.assertEqual(current.wrong_pairs, 0)

    def test_lost_datagrams_cause_no_suspicions(self) -> None:
        """Guards against flapping in a calm fleet."""
        current, _ = _play_both(_change_nothing)
        self.assertEqual(current.refutations, 0)
        self.assertEqual(current.wrong_pairs, 0)


class DetectionTests(unittest.TestCase):
    """A second opinion must not delay the detection of a real failure."""

    def test_lost_vm_is_known_to_all_within_seconds(self) -> None:
        """Callers must not be directed to a VM that has failed."""
        current, previous = _play_both(_lose_one)
        median_s = statistics.median(current.detected_after_s)
        previous_median_s = statistics.median(previous.detected_after_s)
        self.assertLess(median_s, previous_median_s + 0.5)
        self.assertLess(max(current.detected_after_s), _MAX_DETECTION_S)

    def test_lost_data_centre_is_known_to_all_within_seconds(self) -> None:
        """Helpers may have failed together with the member."""
        current, previous = _play_both(_lose_data_centre)
        median_s = statistics.median(current.detected_after_s)
        previous_median_s = statistics.median(previous.detected_after_s)
        self.assertLess(median_s, previous_median_s + 0.5)
        self.assertLess(max(current.detected_after_s), _MAX_DETECTION_S)

    def test_calm_fleet_sends_no_more_datagrams(self) -> None:
        """Traffic between data centres is charged."""
        current, previous = _play_both(_change_nothing)
        self.assertLess(current.datagrams_per_s, 1.1 * previous.datagrams_per_s)
