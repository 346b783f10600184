"""Tests for the token bucket and the permit pool."""

import random
import unittest

from jacinthcart.errors import InvariantViolationError
from jacinthcart.limits import PermitPool
from jacinthcart.limits._pending import PendingBorrows
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket
from tests.limits.fixtures import ManualClock


class TokenBucketTest(unittest.TestCase):
    """A bucket grants what its rate and capacity allow."""

    def setUp(self) -> None:
        """Create a bucket with a rate of ten and a capacity of five."""
        self.clock = ManualClock()
        self.bucket = TokenBucket(10, 5, self.clock, Metrics())

    def test_starts_empty_and_fills_to_its_capacity(self) -> None:
        """Guards against a restart that repeats the burst."""
        self.assertEqual(self.bucket.take(1), 0)
        self.clock.now += 10
        self.assertEqual(self.bucket.take(9), 5)

    def test_lower_settings_apply_at_once(self) -> None:
        """Guards against a bucket that keeps tokens above a lowered burst."""
        self.clock.now += 10
        self.bucket.configure(1, 2, self.clock.now)
        self.assertEqual(self.bucket.take(9), 2)
        self.clock.now += 1
        self.assertEqual(self.bucket.take(9), 1)


class PermitPoolTest(unittest.TestCase):
    """Permits are granted in the order of their expiry, never after it."""

    def setUp(self) -> None:
        """Add three permits that expire before two others."""
        self.clock = ManualClock()
        self.pool = PermitPool(self.clock, Metrics())
        self.pool.add(2, self.clock.now + 2)
        self.pool.add(3, self.clock.now + 1)

    def test_permits_that_expire_first_are_granted_first(self) -> None:
        """Guards against permits that expire while longer ones are used."""
        self.assertEqual(self.pool.take(3).expires_at, self.clock.now + 1)
        self.assertEqual(self.pool.take(9).count, 2)

    def test_expired_permits_are_not_granted(self) -> None:
        """Guards against a resumed process that grants expired permits."""
        self.clock.now += 1
        self.assertEqual(self.pool.take(9).count, 2)


class PendingBorrowsTest(unittest.TestCase):
    """A reply is matched to a request of the same process and VM only."""

    def test_reply_to_a_former_process_matches_nothing(self) -> None:
        """Guards against permits whose computed expiry is too late."""
        clock = ManualClock()
        former = PendingBorrows(clock, random.Random(1))
        late_seq = former.add('b', {'mill': 1})
        new = PendingBorrows(clock, random.Random(2))
        seq = new.add('b', {'mill': 1})
        self.assertIsNone(new.pop(late_seq, 'b'))
        self.assertIsNone(new.pop(seq, 'c'))
        self.assertIsNotNone(new.pop(seq, 'b'))


class InvariantTest(unittest.TestCase):
    """A violated invariant raises an error."""

    def test_level_above_capacity_is_an_error(self) -> None:
        """Guards against invariant checks that are never evaluated."""
        bucket = TokenBucket(10, -1, ManualClock(), Metrics())
        with self.assertRaises(InvariantViolationError):
            bucket.take(1)
