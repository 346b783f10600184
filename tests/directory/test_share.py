"""Tests of how fleet-wide limits are divided among VMs."""

import itertools
import unittest

from jacinthcart.directory import DirectoryParameters, ServingShares
from jacinthcart.fleet import MemberParameters, MemberRecord, MemberTable
from jacinthcart.telemetry import create_logger
from tests.support import ManualClock, create_member

#: Seconds after which a process has discovered all members.
_SETTLED_S = 60
_STRONG = 4
_WEAK = 16


class ServingSharesTests(unittest.TestCase):
    """Advertised VMs get larger shares than VMs without callers."""

    def setUp(self) -> None:
        """Create four strong VMs, all advertised, and weak ones."""
        self.clock = ManualClock()
        self.records = [
            create_member(f'10.0.0.{number}', capacity=capacity)
            for number, capacity in enumerate(
                [
                    *itertools.repeat(2.0, _STRONG),
                    *itertools.repeat(0.4, _WEAK),
                ],
                start=1,
            )
        ]

    def test_advertised_vm_has_the_largest_share(self) -> None:
        """Guards against equal shares, which leave most of a limit unused."""
        share = self._compute_share(0)
        self.assertGreater(share, 2 / len(self.records))

    def test_shares_add_up_to_the_limit(self) -> None:
        """The fleet must not exceed the limit."""
        shares = [
            self._compute_share(number) for number in range(len(self.records))
        ]
        self.assertAlmostEqual(sum(shares), 1)

    def test_equal_vms_have_equal_shares(self) -> None:
        """Guards against unequal shares where every VM is advertised."""
        self.records = self.records[:_STRONG]
        self.assertAlmostEqual(self._compute_share(1), 1 / _STRONG)

    def test_silent_members_keep_their_shares(self) -> None:
        """They may still serve callers on the other side of a partition."""
        members = self._create_members(0)
        shares = ServingShares(members, DirectoryParameters())
        before = shares.compute_own_share()
        members.suspect(self.records[1].address)
        self.assertEqual(shares.compute_own_share(), before)

    def test_new_process_has_a_small_share(self) -> None:
        """Guards against using a whole limit before members are discovered."""
        self.records = self.records[:1]
        members = self._create_members(0, age_s=0)
        shares = ServingShares(members, DirectoryParameters())
        self.assertLess(shares.compute_own_share(), 0.5)

    def test_advertised_vms_are_ranked_for_a_key(self) -> None:
        """Guards against VMs without callers as senders to a cold searcher."""
        members = self._create_members(0)
        shares = ServingShares(members, DirectoryParameters())
        ranked = shares.rank_advertised('cold/searcher')
        strong = {record.address for record in self.records[:_STRONG]}
        self.assertEqual(set(ranked), strong)
        lost = self.records[1].address
        members.suspect(lost)
        ranked.remove(lost)
        self.assertEqual(shares.rank_advertised('cold/searcher'), ranked)

    def test_process_that_discovers_the_fleet_ranks_no_vm(self) -> None:
        """Guards against each new process ranking itself first."""
        members = self._create_members(0, age_s=0)
        shares = ServingShares(members, DirectoryParameters())
        self.assertEqual(shares.rank_advertised('cold/searcher'), [])

    def _compute_share(self, number: int) -> float:
        members = self._create_members(number)
        return ServingShares(members, DirectoryParameters()).compute_own_share()

    def _create_members(
        self,
        number: int,
        age_s: float = _SETTLED_S,
    ) -> MemberTable:
        own: MemberRecord = self.records[number]
        members = MemberTable(
            own,
            self.clock,
            create_logger('test'),
            MemberParameters(),
        )
        for record in self.records:
            members.merge(record)
        self.clock.advance(age_s)
        return members
