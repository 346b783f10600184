"""Tests for serving leases while parts of the fleet are isolated."""

import unittest

import anyio

from tests.control._fleet import DIGEST, ISOLATION_S, LEASE_S, run_fleet

STOP_S = ISOLATION_S + LEASE_S


class IsolationTest(unittest.TestCase):
    """A VM that may miss a change stops serving; the fleet continues."""

    def test_vm_cut_off_alone_stops_within_the_bound(self) -> None:
        """Guards against an isolated VM that accepts revoked keys."""

        async def scenario(fleet):
            await fleet.start()
            self.assertEqual(len(fleet.serving()), 8)
            cut_off = fleet.vms[0]
            cut_off.platform.is_cut_off = True
            fleet.network.group_by_vm[cut_off.vm_id] = 1
            fleet.revoke_key()
            await anyio.sleep(STOP_S)
            self.assertFalse(cut_off.entry.is_serving)
            self.assertEqual(len(fleet.serving()), 7)

        run_fleet(8, scenario)

    def test_half_without_the_service_stops(self) -> None:
        """Guards against a split brain in which both halves serve."""

        async def scenario(fleet):
            await fleet.start()
            lost = fleet.vms[:4]
            for vm in lost:
                vm.platform.is_cut_off = True
                fleet.network.group_by_vm[vm.vm_id] = 1
            await anyio.sleep(STOP_S)
            kept = {vm.vm_id for vm in fleet.vms[4:]}
            self.assertEqual(fleet.serving(), kept)
            await anyio.sleep(20)
            self.assertEqual(fleet.serving(), kept)

        run_fleet(8, scenario)

    def test_service_outage_does_not_stop_the_fleet(self) -> None:
        """Guards against serving that depends on the service."""

        async def scenario(fleet):
            await fleet.start()
            fleet.service.is_down = True
            for _ in range(600):
                await anyio.sleep(0.1)
                self.assertEqual(len(fleet.serving()), 8)

        run_fleet(8, scenario)

    def test_paused_vm_serves_only_after_a_new_proof(self) -> None:
        """Guards against buffered old datagrams counting as proofs."""

        async def scenario(fleet):
            await fleet.start()
            paused = fleet.vms[0]
            fleet.service.is_down = True
            await anyio.sleep(10)
            self.assertTrue(paused.entry.is_serving)
            paused.input_gate.pause()
            await anyio.sleep(1)
            paused.gate.pause()
            await anyio.sleep(0.5)
            fleet.service.is_down = False
            fleet.revoke_key()
            await anyio.sleep(20)
            for vm in fleet.vms[1:]:
                fleet.network.group_by_vm[vm.vm_id] = 1
            paused.platform.is_cut_off = True
            paused.input_gate.resume()
            paused.gate.resume()
            for _ in range(100):
                self.assertFalse(paused.entry.is_serving)
                await anyio.sleep(0.02)
            fleet.network.group_by_vm.clear()
            await anyio.sleep(3)
            self.assertTrue(paused.entry.is_serving)
            self.assertFalse(paused.entry.has_key)

        run_fleet(8, scenario)


class StartTest(unittest.TestCase):
    """A starting VM serves only with the settings of its peers."""

    def test_vm_starts_from_peers_while_the_service_is_down(self) -> None:
        """Guards against a replacement VM that depends on the service."""

        async def scenario(fleet):
            await fleet.start()
            fleet.service.is_down = True
            await anyio.sleep(10)
            fleet.vms[0].stop()
            replacement = fleet.add(0, [fleet.vms[1].endpoint])
            await anyio.sleep(4)
            self.assertTrue(replacement.entry.is_serving)
            self.assertEqual(replacement.revision, 3)

        run_fleet(8, scenario)

    def test_vm_without_service_and_peers_does_not_serve(self) -> None:
        """Guards against a VM that serves with missing or stale settings."""

        async def scenario(fleet):
            fleet.service.is_down = True
            vm = fleet.add(0)
            await anyio.sleep(30)
            self.assertFalse(vm.entry.is_serving)

        run_fleet(8, scenario)

    def test_vm_with_a_stale_service_never_serves_the_old_settings(
        self,
    ) -> None:
        """Guards against serving before the peers have responded."""

        async def scenario(fleet):
            replacement = await self._replace_with_stale_service(fleet)
            fleet.network.loss = 1
            await self._check_key_is_unused(replacement, 0.3)
            fleet.network.loss = 0
            await self._check_key_is_unused(replacement, 4)
            self.assertTrue(replacement.entry.is_serving)

        run_fleet(8, scenario)

    def test_vm_waits_for_the_higher_revision_of_a_peer(self) -> None:
        """Guards against serving while the pull is still in progress."""

        async def scenario(fleet):
            replacement = await self._replace_with_stale_service(fleet)
            fleet.network.call_s = 1
            await self._check_key_is_unused(replacement, 6)
            self.assertTrue(replacement.entry.is_serving)

        run_fleet(8, scenario)

    async def _replace_with_stale_service(self, fleet):
        await fleet.start()
        fleet.revoke_key()
        await anyio.sleep(2)
        fleet.vms[0].stop()
        replacement = fleet.add(0)
        replacement.platform.stale_revision = 3
        return replacement

    async def _check_key_is_unused(self, vm, seconds):
        for _ in range(round(seconds / 0.02)):
            await anyio.sleep(0.02)
            granted = vm.entry.view.workspace_id_by_digest
            self.assertFalse(vm.entry.is_serving and DIGEST in granted)


class LeavingTest(unittest.TestCase):
    """A graceful shutdown is announced immediately."""

    def test_leaving_reaches_peers_and_local_processes_at_once(self) -> None:
        """Guards against callers directed to a VM that is stopping."""

        async def scenario(fleet):
            await fleet.start()
            await anyio.sleep(2)
            first = fleet.vms[0]
            first.node.announce_leaving()
            await anyio.sleep(0.15)
            self.assertTrue(first.node.state.export_after('')['leaving'])
            for vm in fleet.vms[1:]:
                live = vm.node.state.live
                self.assertEqual(live.state_by_vm[first.vm_id], 'leaving')

        run_fleet(8, scenario)
