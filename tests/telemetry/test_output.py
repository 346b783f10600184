"""Tests of non-blocking log output."""

import io
import threading
import unittest

from jacinthcart.telemetry import NonBlockingOutput


class StalledStream(io.StringIO):
    """A stream that blocks writes until the test opens its gate."""

    def __init__(self) -> None:
        """Start with a closed gate."""
        super().__init__()
        self.gate = threading.Event()

    def write(self, text: str) -> int:
        """Wait for the gate and write."""
        self.gate.wait()
        return super().write(text)


class NonBlockingOutputTests(unittest.TestCase):
    """A slow reader must not delay requests."""

    def test_write_returns_while_the_reader_is_stalled(self) -> None:
        """Lines that do not fit into the queue are dropped and counted."""
        stream = StalledStream()
        output = NonBlockingOutput(stream, max_lines=10)
        for number in range(100):
            output.write(f'{number}\n')
        self.assertGreater(output.dropped, 80)
        stream.gate.set()
        output.close(5)
        self.assertIn('lines dropped', stream.getvalue())
