"""Tests of the freshness lease."""

import unittest

from jacinthcart.readings import FreshnessLease
from tests.support import ManualClock


class FreshnessLeaseTests(unittest.TestCase):
    """A proof counts from the time its call was sent."""

    def setUp(self) -> None:
        """Create a lease without a proof."""
        self.clock = ManualClock()
        self.lease = FreshnessLease(self.clock)

    def test_nothing_is_fresh_without_proof(self) -> None:
        """A VM that has just started must not serve keyed requests."""
        self.assertFalse(self.lease.is_fresh(4))

    def test_read_counts_from_its_sending(self) -> None:
        """A slow answer must not count as a recent read."""
        sent_at = self.clock()
        self.clock.advance(3)
        self.lease.record_own_read(sent_at)
        self.assertAlmostEqual(self.lease.age_s, 3)

    def test_suspension_ends_the_lease(self) -> None:
        """A VM must not use an old proof after it resumes."""
        self.lease.record_own_read(self.clock())
        self.clock.advance(4.1)
        self.assertFalse(self.lease.is_fresh(4))

    def test_age_of_a_peer_counts_from_the_request(self) -> None:
        """An answer that waited in a buffer proves nothing newer."""
        asked_at = self.clock()
        self.clock.advance(2)
        self.lease.record_peer_proof(asked_at, 1)
        self.assertGreaterEqual(self.lease.age_s, 3)

    def test_older_proof_does_not_shorten_the_lease(self) -> None:
        """Proofs may arrive in any order."""
        self.lease.record_own_read(self.clock())
        self.lease.record_peer_proof(self.clock(), 2)
        self.assertAlmostEqual(self.lease.age_s, 0)
