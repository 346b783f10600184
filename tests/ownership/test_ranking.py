"""Tests of rendezvous hashing over the roster."""

import unittest

from jacinthcart.ownership import rank_owners

VMS = [f'vm-{number}' for number in range(8)]


class RankOwnersTest(unittest.TestCase):
    """Owners must not depend on the order of the roster."""

    def test_order_of_the_roster_does_not_matter(self) -> None:
        """Guards against two VMs computing different owners."""
        self.assertEqual(
            rank_owners('key', VMS, 3),
            rank_owners('key', reversed(VMS), 3),
        )

    def test_removing_a_vm_keeps_the_other_owners(self) -> None:
        """Guards against rights moving between VMs that stay."""
        owners = rank_owners('key', VMS, 3)
        rest = [vm for vm in VMS if vm != owners[0]]
        self.assertEqual(rank_owners('key', rest, 2), owners[1:])
