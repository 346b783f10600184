"""Tests of serving leases while parts of the fleet are cut off."""

import unittest

import anyio

from tests.control._fleet import DIGEST, ISOLATION_S, LEASE_S, run_fleet

STOP_S = ISOLATION_S + LEASE_S


class IsolationTest(unittest.TestCase):
    """A VM that may lack a change stops; the fleet goes on."""

    def test_vm_cut_off_alone_stops_within_the_bound(self) -> None:
        """Guards against an isolated VM serving withdrawn keys."""

        async def scenario(fleet):
            await fleet.start()
            self.assertEqual(len(fleet.serving()), 8)
            cut_off = fleet.vms[0]
            cut_off.platform.is_cut_off = True
            fleet.network.group_by_vm[cut_off.vm_id] = 1
            fleet.withdraw_key()
            await anyio.sleep(STOP_S)
            self.assertFalse(cut_off.entry.is_serving)
            self.assertEqual(len(fleet.serving()), 7)

        run_fleet(8, scenario)

    def test_half_without_the_service_stops(self) -> None:
        """Guards against both halves of a split going on."""

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
        """Guards against the service being needed for serving."""

        async def scenario(fleet):
            await fleet.start()
            fleet.service.is_down = True
            for _ in range(600):
                await anyio.sleep(0.1)
                self.assertEqual(len(fleet.serving()), 8)

        run_fleet(8, scenario)

    def test_paused_vm_serves_only_after_fresh_evidence(self) -> None:
        """Guards against old datagrams in the buffer proving anything."""

        async def scenario(fleet):
            await fleet.start()
            paused = fleet.vms[0]
            fleet.service.is_down = True
            await anyio.sleep(10)
            self.assertTrue(paused.entry.is_serving)
            paused.gate.pause()
            await anyio.sleep(0.5)
            fleet.service.is_down = False
            fleet.withdraw_key()
            await anyio.sleep(20)
            for vm in fleet.vms[1:]:
                fleet.network.group_by_vm[vm.vm_id] = 1
            paused.platform.is_cut_off = True
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
    """A starting VM serves only with what its peers have."""

    def test_vm_starts_from_peers_while_the_service_is_down(self) -> None:
        """Guards against a replacement VM needing the service."""

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
        """Guards against a VM serving with no settings or stale ones."""

        async def scenario(fleet):
            fleet.service.is_down = True
            vm = fleet.add(0)
            await anyio.sleep(30)
            self.assertFalse(vm.entry.is_serving)

        run_fleet(8, scenario)

    def test_vm_with_a_stale_service_never_serves_the_old_settings(
        self,
    ) -> None:
        """Guards against a start from a lower revision than the peers'."""

        async def scenario(fleet):
            await fleet.start()
            fleet.withdraw_key()
            await anyio.sleep(2)
            fleet.vms[0].stop()
            replacement = fleet.add(0)
            replacement.platform.stale_revision = 3
            for _ in range(300):
                await anyio.sleep(0.02)
                served = replacement.entry.store.view.workspace_id_by_digest
                self.assertFalse(
                    replacement.entry.is_serving and DIGEST in served,
                )
            self.assertTrue(replacement.entry.is_serving)

        run_fleet(8, scenario)
