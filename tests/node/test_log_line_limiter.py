"""Tests of the rate limit for log lines."""

import unittest

from jacinthcart.node._log_line_limiter import LogLineLimiter
from jacinthcart.telemetry import Metrics
from tests.support import ManualClock


class LogLineLimiterTests(unittest.TestCase):
    """The rate of lines is bounded, and suppressed lines are counted."""

    def test_lines_beyond_the_rate_are_counted(self) -> None:
        """The next permitted line reports how many were suppressed."""
        clock = ManualClock()
        limiter = LogLineLimiter(clock, 5, Metrics())
        permitted = [limiter.try_acquire() for _ in range(20)]
        self.assertEqual(sum(one is not None for one in permitted), 5)
        clock.advance(1)
        self.assertEqual(limiter.try_acquire(), 15)
