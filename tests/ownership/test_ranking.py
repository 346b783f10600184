"""Tests of rendezvous hashing over the roster."""

import unittest

from jacinthcart.ownership import rank_owners

VMS = [f'vm-{number}' for number in range(8)]


class RankOwnersTest(unittest.TestCase):
    """The ranking does not depend on the roster's order or other VMs."""

    def test_order_of_the_roster_does_not_matter(self) -> None:
        """Guards against two VMs that compute different owners."""
        self.assertEqual(
            rank_owners('key', VMS, 3),
            rank_owners('key', reversed(VMS), 3),
        )

    def test_removing_a_vm_keeps_the_other_owners(self) -> None:
        """Guards against moving ownership between the remaining VMs."""
        owners = rank_owners('key', VMS, 3)
        rest = [vm for vm in VMS if vm != owners[0]]
        self.assertEqual(rank_owners('key', rest, 2), owners[1:])
