"""Starts processes of the lab; the product itself starts none."""

import pathlib
import subprocess
import sys


class FleetError(Exception):
    """The fleet did not reach the expected state in time."""


def spawn(log_file: pathlib.Path, *arguments: str) -> subprocess.Popen[bytes]:
    """Start `python -m arguments` with its output in `log_file`."""
    with log_file.open('ab') as log:
        return subprocess.Popen(
            [sys.executable, '-m', *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
