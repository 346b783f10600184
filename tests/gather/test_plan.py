"""Tests of the plan: few hops to the right VMs."""

import unittest

from jacinthcart.gather._outcomes import PartWork
from jacinthcart.gather._plan import VmRank, plan_parts

_WORKS = tuple(PartWork(f'p{part}', (part,)) for part in range(4))
_OWNERS = {
    'p0': ('own', 'a'),
    'p1': ('a', 'b'),
    'p2': ('a', 'c'),
    'p3': ('c',),
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
            {'own': {'p0'}, 'a': {'p1', 'p2'}, 'c': {'p3'}},
        )

    def test_avoided_vm_gets_only_what_no_other_owns(self) -> None:
        """Guards against one dead VM that attracts parts by its cover."""
        self.assertEqual(
            self.plan('a'),
            {'own': {'p0'}, 'c': {'p2', 'p3'}, 'b': {'p1'}},
        )
        self.assertEqual(self.plan('c')['c'], {'p3'})
