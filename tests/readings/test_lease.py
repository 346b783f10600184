"""Tests of the proof of a reading's age."""

import unittest

from jacinthcart.readings import FreshnessLease
from tests.support import ManualClock


class FreshnessLeaseTests(unittest.TestCase):
    """A proof is dated at the sending of the call that brought it."""

    def setUp(self) -> None:
        """Create a lease without proof."""
        self.clock = ManualClock()
        self.lease = FreshnessLease(self.clock)

    def test_nothing_is_fresh_without_proof(self) -> None:
        """A VM that has just started must not serve keyed requests."""
        self.assertFalse(self.lease.is_fresh(4))

    def test_reading_is_dated_at_its_sending(self) -> None:
        """A slow answer must not count as a new reading."""
        sent_at = self.clock()
        self.clock.move(3)
        self.lease.record_own_read(sent_at)
        self.assertAlmostEqual(self.lease.age_s, 3)

    def test_suspension_ends_the_lease(self) -> None:
        """A VM that wakes late must not use what it proved before."""
        self.lease.record_own_read(self.clock())
        self.clock.move(4.1)
        self.assertFalse(self.lease.is_fresh(4))

    def test_age_of_a_peer_counts_from_the_question(self) -> None:
        """An answer that waited in a buffer proves nothing newer."""
        asked_at = self.clock()
        self.clock.move(2)
        self.lease.record_peer_proof(asked_at, 1)
        self.assertGreaterEqual(self.lease.age_s, 3)

    def test_older_proof_does_not_shorten_the_lease(self) -> None:
        """Proofs may arrive in any order."""
        self.lease.record_own_read(self.clock())
        self.lease.record_peer_proof(self.clock(), 2)
        self.assertAlmostEqual(self.lease.age_s, 0)
