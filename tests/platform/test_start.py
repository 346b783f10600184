"""Tests of signals that arrive while the process starts."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

_EXIT_INVALID_SETTINGS = 2
_TIMEOUT_S = 30


class StartTests(unittest.TestCase):
    """A process that starts handles the signals of a running one."""

    def setUp(self) -> None:
        """Start a process that waits for its settings."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = pathlib.Path(folder.name) / 'settings.json'
        os.mkfifo(self.settings)
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'jacinthcart.platform'],
            env={**os.environ, 'JACINTHCART_CONFIG': str(self.settings)},
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def test_reload_signal_does_not_end_the_process(self) -> None:
        """Guards against a process that ends at SIGHUP while it starts."""
        with self.settings.open('w') as settings:
            self.process.send_signal(signal.SIGHUP)
            settings.write('{}')
        code = self.process.wait(_TIMEOUT_S)
        self.assertEqual(code, _EXIT_INVALID_SETTINGS)

    def test_stop_signal_ends_the_process(self) -> None:
        """Guards against a start that can't be stopped."""
        with self.settings.open('w'):
            self.process.send_signal(signal.SIGTERM)
            self.assertEqual(self.process.wait(_TIMEOUT_S), -signal.SIGTERM)
