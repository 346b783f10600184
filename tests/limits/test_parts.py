"""Tests of bucket and permit stock."""

import unittest

from jacinthcart.errors import InvariantViolationError
from jacinthcart.limits import PermitPool
from jacinthcart.tokens import TokenBucket
from jacinthcart.telemetry import Metrics
from tests.limits.fixtures import ManualClock


class TokenBucketTest(unittest.TestCase):
    """A bucket gives what its rate and capacity allow."""

    def setUp(self) -> None:
        """Start with ten tokens a second and room for five."""
        self.clock = ManualClock()
        self.bucket = TokenBucket(10, 5, self.clock, Metrics())

    def test_starts_empty_and_fills_to_its_capacity(self) -> None:
        """Guards against a restart that repeats the burst."""
        self.assertEqual(self.bucket.take(1), 0)
        self.clock.now += 10
        self.assertEqual(self.bucket.take(9), 5)

    def test_lower_settings_apply_at_once(self) -> None:
        """Guards against a bucket that keeps tokens of a former burst."""
        self.clock.now += 10
        self.bucket.configure(1, 2, self.clock.now)
        self.assertEqual(self.bucket.take(9), 2)
        self.clock.now += 1
        self.assertEqual(self.bucket.take(9), 1)


class PermitStockTest(unittest.TestCase):
    """Permits are used in the order of their expiry, never after it."""

    def setUp(self) -> None:
        """Hold three permits that expire before two others."""
        self.clock = ManualClock()
        self.stock = PermitPool(self.clock, Metrics())
        self.stock.add(2, self.clock.now + 2)
        self.stock.add(3, self.clock.now + 1)

    def test_oldest_permits_go_first(self) -> None:
        """Guards against permits that expire behind newer ones."""
        self.assertEqual(self.stock.take(3).expires_at, self.clock.now + 1)
        self.assertEqual(self.stock.take(9).count, 2)

    def test_expired_permits_are_not_granted(self) -> None:
        """Guards against a process that resumes late and uses old permits."""
        self.clock.now += 1
        self.assertEqual(self.stock.take(9).count, 2)


class InvariantTest(unittest.TestCase):
    """A broken invariant stops the request instead of passing unseen."""

    def test_level_above_capacity_is_an_error(self) -> None:
        """Guards against checks that are never evaluated."""
        bucket = TokenBucket(10, -1, ManualClock(), Metrics())
        with self.assertRaises(InvariantViolationError):
            bucket.take(1)
