"""Tests of the volume of log lines."""

import unittest

from jacinthcart.node._log_line_limiter import LogLineLimiter
from jacinthcart.telemetry import Metrics
from tests.support import ManualClock


class LogLineLimiterTests(unittest.TestCase):
    """The volume of lines is bounded, and what is left out is counted."""

    def test_lines_beyond_the_rate_are_counted(self) -> None:
        """The next line tells how many are missing."""
        clock = ManualClock()
        limiter = LogLineLimiter(clock, 5, Metrics())
        passed = [limiter.take() for _ in range(20)]
        self.assertEqual(sum(one is not None for one in passed), 5)
        clock.move(1)
        self.assertEqual(limiter.take(), 15)
