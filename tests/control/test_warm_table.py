"""Tests for the replication of the warm table between VMs."""

import unittest

import anyio

from jacinthcart.ownership import find_part_owners
from tests.control._fleet import run_fleet

SERVICE = {
    'parts_by_name': {
        'p0': {
            'shards': [0],
            'searchers_by_id': {
                's0': {
                    'address': '127.0.0.1',
                    'port': 9,
                    'data_centre': 'a',
                },
            },
        },
    },
    'index_versions': [1],
    'slots': 2,
    'connection_limit': 8,
}
ENTRY = {'v/k/s0': {'incident': 3, 'warm': True, 'generation': 'g'}}


class WarmTableTest(unittest.TestCase):
    """All VMs receive the newest entries."""

    def test_owners_are_notified_and_others_pull_by_digest(self) -> None:
        """Guards against a VM that sends to a searcher known to be cold."""

        async def scenario(fleet):
            await fleet.start()
            fleet.service.put({'teams/v/services/k': SERVICE})
            await anyio.sleep(1)
            view = fleet.vms[0].view
            owners = find_part_owners(
                'v/k',
                'p0',
                view.services_by_id['v/k'],
                view.roster.vms_by_id,
            )
            vm = next(vm for vm in fleet.vms if vm.vm_id not in owners)
            await vm.node.warm_replicator.report(ENTRY)
            await anyio.sleep(0.02)
            self.assertLessEqual(set(owners), self._list_up_to_date_vms(fleet))
            await anyio.sleep(3)
            self.assertEqual(len(self._list_up_to_date_vms(fleet)), 8)
            fleet.vms[0].stop()
            fresh = fleet.add(0, [fleet.vms[1].endpoint])
            await anyio.sleep(0.05)
            self.assertEqual(fresh.warm_entries, ENTRY)

        run_fleet(8, scenario)

    def _list_up_to_date_vms(self, fleet):
        return {vm.vm_id for vm in fleet.vms if vm.warm_entries == ENTRY}
