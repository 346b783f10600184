"""Runs the runbook against a demo fleet of processes on loopback."""

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
FIRST_PORT = '31000'
#: Limit for a run that hangs; a run takes well under a minute.
TIMEOUT_S = 240
#: Number of independent sections that run concurrently.
CONCURRENT_SECTIONS = 4
#: Sections that disturb the fleet run sequentially.
SEQUENTIAL_SECTIONS = (
    'Rolling restart',
    'Replace a VM',
    'The configuration service is down',
    'The configuration service is stale',
)


def read_sections():
    """Return the command blocks of each section by heading."""
    setup, *sections = re.split('^## ', PAGE.read_text(), flags=re.M)
    return {
        section.partition('\n')[0]: join_blocks(setup) + join_blocks(section)
        for section in sections
    }


def join_blocks(text):
    """Return the shell commands in a part of the page."""
    return ''.join(re.findall('^```sh\n(.*?)^```$', text, re.M | re.S))


@contextlib.contextmanager
def run_fleet(folder, environment):
    """Run the demo fleet in `folder` while the context is open."""
    command = [sys.executable, '-m', 'jacinthcart_lab', 'fleet']
    with subprocess.Popen(
        [*command, '--first-port', FIRST_PORT],
        cwd=folder,
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    ) as fleet:
        try:
            for line in fleet.stdout:
                if line.startswith('ready'):
                    break
            yield fleet
        finally:
            fleet.send_signal(signal.SIGTERM)
            fleet.stdout.close()


class OperationsPageTest(unittest.TestCase):
    """All commands of the page run as written."""

    def test_commands_of_the_page(self) -> None:
        """Guards against a runbook with commands that fail."""
        sections = read_sections()
        independent = [
            name for name in sections if name not in SEQUENTIAL_SECTIONS
        ]
        folders = f'{pathlib.Path(sys.executable).parent}:{os.environ["PATH"]}'
        self.environment = {
            **os.environ,
            'PYTHONPATH': str(ROOT),
            'PATH': folders,
        }
        with tempfile.TemporaryDirectory() as folder:
            self.folder = folder
            with run_fleet(folder, self.environment) as fleet:
                with ThreadPoolExecutor(CONCURRENT_SECTIONS) as threads:
                    commands = [sections[name] for name in independent]
                    list(threads.map(self._run_section, independent, commands))
                for name in SEQUENTIAL_SECTIONS:
                    self._run_section(name, sections[name])
            self.assertEqual(fleet.returncode, 0)

    def _run_section(self, name, commands):
        completed = subprocess.run(
            ['bash', '-euc', commands],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        output = (
            f'{name}: {completed.stderr[-2000:]}\n{completed.stdout[-2000:]}'
        )
        self.assertEqual(completed.returncode, 0, output)
