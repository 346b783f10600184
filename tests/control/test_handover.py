"""Tests for when a starting VM may use the shares it owns."""

import math
import unittest

import anyio
import trio

from tests.control._fleet import create_roster, run_fleet

HANDOVER_S = 30


def _wait_s(vm):
    """Return the seconds until the VM may use its shares."""
    until = vm.permits.activated_at + HANDOVER_S
    return max(0, until - trio.current_time())


class HandoverTest(unittest.TestCase):
    """Shares are used only after no previous owner can use them."""

    def test_fleet_that_starts_as_a_whole_does_not_wait(self):
        """Guards against a new fleet that refuses everything for 30 s."""

        async def scenario(fleet):
            await fleet.start()
            for vm in fleet.vms:
                self.assertEqual(vm.permits.activated_at, -math.inf)

        run_fleet(8, scenario)

    def test_fleet_with_a_silent_vm_waits(self):
        """Guards against ignoring a VM that may use a previous roster."""

        async def scenario(fleet):
            fleet.network.group_by_vm['vm000'] = 1
            await fleet.start()
            self.assertGreater(_wait_s(fleet.vms[1]), HANDOVER_S - 5)

        run_fleet(4, scenario)

    def test_fleet_waits_while_a_vm_outside_the_roster_is_listed(self):
        """Guards against ignoring live VMs that left the roster.

        All VMs of the roster may be new, while the platform still lists a VM
        of a previous roster.
        """

        async def scenario(fleet):
            for number in range(2):
                vm = fleet.add(number)
                vm.node.state.live.update_platform_list({'vm009': 'live'})
            await anyio.sleep(4)
            self.assertGreater(_wait_s(fleet.vms[0]), HANDOVER_S - 5)

        run_fleet(2, scenario)

    def test_restart_in_a_stable_fleet_does_not_wait(self):
        """Guards against losing a share of the rate after each restart."""

        async def scenario(fleet):
            await fleet.start()
            await anyio.sleep(HANDOVER_S + 2)
            fleet.vms[2].stop()
            restarted = fleet.add(2)
            await anyio.sleep(2)
            self.assertEqual(_wait_s(restarted), 0)

        run_fleet(8, scenario)

    def test_vm_new_in_the_roster_waits(self):
        """Guards against a share that old and new owner use at once."""

        async def scenario(fleet):
            await _grow_to_five(fleet)
            await anyio.sleep(2)
            added = fleet.add(4)
            await anyio.sleep(4)
            self.assertGreater(_wait_s(added), HANDOVER_S - 8)

        run_fleet(4, scenario)

    def test_restart_during_a_handover_waits_for_the_rest(self):
        """Guards against a restart that skips the rest of a handover.

        A rolling restart must not skip it either: each VM learns of the
        handover from a VM that has not restarted yet.
        """

        async def scenario(fleet):
            await _grow_to_five(fleet)
            fleet.add(4)
            await anyio.sleep(8)
            for number in range(5):
                fleet.vms[number].stop()
                fleet.add(number)
                await anyio.sleep(3)
            for vm in fleet.vms:
                self.assertGreater(_wait_s(vm), 2)
                self.assertLess(_wait_s(vm), HANDOVER_S - 20)

        run_fleet(4, scenario)


async def _grow_to_five(fleet):
    await fleet.start()
    await anyio.sleep(HANDOVER_S + 2)
    fleet.service.put({'fleet/roster': create_roster(5)})
