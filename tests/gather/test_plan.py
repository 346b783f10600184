"""Tests that a plan sends parts to few, suitable VMs."""

import unittest

from jacinthcart.gather._outcomes import PartRequest
from jacinthcart.gather._plan import VmRank, plan_parts

_REQUESTS = tuple(PartRequest(f'p{part}', (part,)) for part in range(5))
_OWNERS = {
    'p0': ('own', 'z'),
    'p1': ('b', 'z'),
    'p2': ('c', 'z'),
    'p3': ('c',),
    'p4': ('z',),
}


class PlanTest(unittest.TestCase):
    """Parts go to this VM if it owns them, else to few preferred VMs."""

    def plan(self, avoided: str = '') -> dict[str, set[str]]:
        """Return the parts by VM, those of this VM included."""

        def rank(vm_id: str) -> VmRank:
            return (vm_id == avoided, 0)

        plan = plan_parts(_REQUESTS, _OWNERS, 'own', rank)
        self.assertEqual(plan.unowned, ())
        requests_by_vm = {**plan.requests_by_vm, 'own': plan.local}
        return {
            vm_id: {request.part for request in requests}
            for vm_id, requests in requests_by_vm.items()
        }

    def test_own_parts_are_local_and_hops_few(self) -> None:
        """Guards against calls to other VMs for parts that this VM owns."""
        self.assertEqual(
            self.plan(),
            {'own': {'p0'}, 'z': {'p1', 'p2', 'p4'}, 'c': {'p3'}},
        )

    def test_avoided_vm_gets_only_what_no_other_owns(self) -> None:
        """Guards against choosing a failed VM because it owns many parts."""
        self.assertEqual(
            self.plan('z'),
            {'own': {'p0'}, 'b': {'p1'}, 'c': {'p2', 'p3'}, 'z': {'p4'}},
        )
