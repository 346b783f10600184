"""Lines between the driver and the processes that it starts.

A process reports JSON lines on standard output. The driver writes a line to
begin the traffic, and another one to end the play; the end of standard input
ends the process as well.
"""

import asyncio
import json
import os
import sys
from typing import Any

import anyio


def report(fields: dict[str, Any]) -> None:
    """Write a report for the driver."""
    print(json.dumps(fields), flush=True)


async def wait_for_line() -> None:
    """Wait for the next line of the driver; exit if the driver has ended."""
    line = await anyio.to_thread.run_sync(
        sys.stdin.readline, abandon_on_cancel=True
    )
    if not line:
        # Not SystemExit, which would wait for tasks and threads.
        os._exit(1)


async def read_report(process: asyncio.subprocess.Process) -> dict[str, Any]:
    """Return the next report of a process; raise EOFError if it has ended."""
    assert process.stdout is not None
    line = await process.stdout.readline()
    if not line:
        raise EOFError('a process of the play has ended')
    fields: dict[str, Any] = json.loads(line)
    return fields


def write_line(process: asyncio.subprocess.Process) -> None:
    """Tell a process to go on."""
    assert process.stdin is not None
    process.stdin.write(b'\n')
