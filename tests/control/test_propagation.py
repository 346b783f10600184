"""Tests for the propagation of changes to all VMs."""

import itertools
import unittest

import anyio

from jacinthcart.settings import MAX_VALUE_BYTES
from jacinthcart.wire import encode_json
from tests.control._fleet import DIGEST, KEYS, create_roster, run_fleet

WORKSPACE = 'teams/voskovka/workspaces/praha'
OTHER_KEYS = 'teams/voskovka/keys/brno'
OTHER_TEAM = 'teams/fjordsom/workspaces/till'
IN_FORCE_S = 6.0


class PropagationTest(unittest.TestCase):
    """A change takes effect on all VMs and never reverts."""

    def test_one_reader_of_the_service_is_enough(self) -> None:
        """Guards against VMs that rely only on their own watch."""

        async def scenario(fleet):
            await fleet.start()
            for vm in fleet.vms[1:]:
                vm.platform.is_cut_off = True
            await anyio.sleep(10)
            self.assertEqual(len(fleet.serving()), 8)
            revision = fleet.revoke_key()
            await anyio.sleep(IN_FORCE_S)
            for vm in fleet.vms:
                self.assertEqual(vm.revision, revision)
                self.assertFalse(vm.entry.has_key)

        run_fleet(8, scenario)

    def test_change_reaches_a_larger_fleet_over_peers(self) -> None:
        """Guards against a number of hops that is linear in fleet size."""

        async def scenario(fleet):
            first = fleet.add(0)
            for number in range(1, 60):
                vm = fleet.add(number, [first.endpoint])
                vm.platform.is_cut_off = True
            await anyio.sleep(3)
            revision = fleet.revoke_key()
            await anyio.sleep(IN_FORCE_S)
            lagging = [vm for vm in fleet.vms if vm.revision < revision]
            self.assertEqual(lagging, [])

        run_fleet(60, scenario)

    def test_racing_changes_end_equal_everywhere(self) -> None:
        """Guards against results that depend on the order of arrival."""

        async def scenario(fleet):
            await fleet.start()
            for vm in fleet.vms[:4]:
                vm.platform.is_cut_off = True
            for number in range(50):
                rate = {'rate': 1 + number, 'burst': 10}
                fleet.service.put({WORKSPACE: rate})
                fleet.service.put({WORKSPACE: {'rate': 500, 'burst': number}})
                await anyio.sleep(0.01)
            await anyio.sleep(IN_FORCE_S)
            for vm in fleet.vms:
                workspaces = vm.entry.view.workspaces_by_id
                self.assertEqual(workspaces['voskovka/praha'].burst, 49)

        run_fleet(8, scenario)

    def test_service_restarted_at_an_older_revision_changes_nothing(
        self,
    ) -> None:
        """Guards against a restarted service that restores a key."""

        async def scenario(fleet):
            await fleet.start()
            fleet.revoke_key()
            await anyio.sleep(2)
            fleet.service.restart_at(3)
            for _ in range(100):
                await anyio.sleep(0.1)
                self.assertEqual(len(fleet.serving()), 8)
                for vm in fleet.vms:
                    self.assertFalse(vm.entry.has_key)
            fleet.service.put({WORKSPACE: {'rate': 1, 'burst': 2}})
            fleet.service.put({OTHER_TEAM: {'rate': 1, 'burst': 2}})
            await anyio.sleep(IN_FORCE_S)
            for vm in fleet.vms:
                known = vm.entry.view.workspaces_by_id
                self.assertEqual(
                    set(known),
                    {'voskovka/praha', 'fjordsom/till'},
                )

        run_fleet(8, scenario)

    def test_invalid_subtree_does_not_harm_the_others(self) -> None:
        """Guards against one team's error blocking another team's change."""

        async def scenario(fleet):
            await fleet.start()
            fleet.service.put(
                {
                    WORKSPACE: {'rate': -1, 'burst': 10},
                    OTHER_TEAM: {'rate': 5, 'burst': 10},
                    KEYS: {'sha256_digests': []},
                },
            )
            await anyio.sleep(2)
            node = fleet.vms[3].node
            self.assertEqual(len(fleet.serving()), 8)
            self.assertIn('fjordsom/till', node.state.view.workspaces_by_id)
            self.assertNotIn(DIGEST, node.state.view.workspace_id_by_digest)
            paths = [error.path for error in node.state.store.errors]
            self.assertEqual(paths, [f'{WORKSPACE}/rate'])

        run_fleet(8, scenario)

    def test_value_of_1_mb_is_accepted_and_a_larger_one_rejected(self) -> None:
        """Guards against a size limit that affects valid or other values."""

        async def scenario(fleet):
            await fleet.start()
            overhead = len(encode_json({'sha256_digests': []})) - 1
            count = (MAX_VALUE_BYTES - overhead) // len(f'"{DIGEST}",')
            largest = list(itertools.repeat(DIGEST, count))
            fleet.service.put(
                {
                    KEYS: {'sha256_digests': largest},
                    OTHER_KEYS: {'sha256_digests': [*largest, DIGEST]},
                },
            )
            await anyio.sleep(IN_FORCE_S)
            for vm in fleet.vms:
                store = vm.node.state.store
                errors = store.errors
                granted = vm.entry.view.workspace_id_by_digest
                self.assertEqual(granted, {DIGEST: 'voskovka/praha'})
                paths = [error.path for error in errors]
                self.assertEqual(paths, [OTHER_KEYS])

        run_fleet(4, scenario)

    def test_replaced_roster_moves_heartbeats(self) -> None:
        """Guards against heartbeats to VMs that left the roster."""

        async def scenario(fleet):
            await fleet.start()
            fleet.service.put({'fleet/roster': create_roster(3)})
            await anyio.sleep(2)
            peers = fleet.vms[0].peers_by_vm
            self.assertEqual(set(peers), {'vm001', 'vm002'})

        run_fleet(8, scenario)
