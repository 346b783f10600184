"""Tests of log output and its volume."""

import io
import threading
import unittest

from jacinthcart.telemetry import LineBudget, NonBlockingOutput
from tests.support import ManualClock


class StalledStream(io.StringIO):
    """A stream whose reader waits until the test lets it read."""

    def __init__(self) -> None:
        """Stall."""
        super().__init__()
        self.gate = threading.Event()

    def write(self, text: str) -> int:
        """Wait for the reader."""
        self.gate.wait()
        return super().write(text)


class NonBlockingOutputTests(unittest.TestCase):
    """A slow reader never delays a request."""

    def test_write_returns_while_the_reader_is_stalled(self) -> None:
        """Lines beyond the queue are dropped and counted."""
        stream = StalledStream()
        output = NonBlockingOutput(stream, most_lines=10)
        for number in range(100):
            output.write(f'{number}\n')
        self.assertGreater(output.dropped, 80)
        stream.gate.set()
        output.close(5)
        self.assertIn('lines dropped', stream.getvalue())


class LineBudgetTests(unittest.TestCase):
    """The volume of lines is bounded, and what is left out is counted."""

    def test_lines_beyond_the_rate_are_counted(self) -> None:
        """The next line tells how many are missing."""
        clock = ManualClock()
        budget = LineBudget(clock, 5)
        passed = [budget.take() for _ in range(20)]
        self.assertEqual(sum(one is not None for one in passed), 5)
        clock.move(1)
        self.assertEqual(budget.take(), 15)
