"""Starts the processes of the lab; the product itself starts none."""

import os
import pathlib
import subprocess
import sys
from collections.abc import Mapping


class FleetError(Exception):
    """The fleet did not reach the expected state in time."""


def spawn(
    log_file: pathlib.Path,
    *arguments: str,
    environment: Mapping[str, str] | None = None,
) -> subprocess.Popen[bytes]:
    """Start `python -m arguments` with its output in `log_file`.

    The variables of `environment` are added to this process's own.
    """
    with log_file.open('ab') as log:
        return subprocess.Popen(
            [sys.executable, '-m', *arguments],
            env={**os.environ, **(environment or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
