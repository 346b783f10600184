"""Tests of the plan: few hops to the right VMs."""

import unittest

from jacinthcart.gather._outcomes import PartWork
from jacinthcart.gather._plan import VmRank, plan_parts

_WORKS = tuple(PartWork(f'p{part}', (part,)) for part in range(5))
_OWNERS = {
    'p0': ('own', 'z'),
    'p1': ('b', 'z'),
    'p2': ('c', 'z'),
    'p3': ('c',),
    'p4': ('z',),
}


class PlanTest(unittest.TestCase):
    """Parts go to this VM, then to few VMs of the best class."""

    def plan(self, avoided: str = '') -> dict[str, set[str]]:
        """Return the parts by VM, those of this VM included."""

        def rank(vm_id: str) -> VmRank:
            return (vm_id == avoided, 0)

        plan = plan_parts(_WORKS, _OWNERS, 'own', rank)
        self.assertEqual(plan.unowned, ())
        works_by_vm = {**plan.works_by_vm, 'own': plan.local}
        return {
            vm_id: {work.part for work in works}
            for vm_id, works in works_by_vm.items()
        }

    def test_own_parts_are_local_and_hops_few(self) -> None:
        """Guards against hops that own connections would save."""
        self.assertEqual(
            self.plan(),
            {'own': {'p0'}, 'z': {'p1', 'p2', 'p4'}, 'c': {'p3'}},
        )

    def test_avoided_vm_gets_only_what_no_other_owns(self) -> None:
        """Guards against one dead VM that attracts parts by its cover."""
        self.assertEqual(
            self.plan('z'),
            {'own': {'p0'}, 'b': {'p1'}, 'c': {'p2', 'p3'}, 'z': {'p4'}},
        )
