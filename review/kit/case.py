"""Runs a case and turns its result into an exit code."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable

from review.kit.record import Record

_EXIT_HELD = 0
_EXIT_BROKEN = 1
_EXIT_NOT_RUN = 2
#: Longest time in seconds that a case may take.
_TIMEOUT_S = 115

#: Plays a case in a temporary folder; returns a line for each violation.
Play = Callable[[pathlib.Path, Record, bool], Awaitable[list[str]]]


class CaseError(Exception):
    """The case could not be played."""


def run_case(play: Play, folder: pathlib.Path) -> None:
    """Play the case and exit with its code.

    With TROUBLE=0 in the environment it is played without the disruption.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_EXIT_NOT_RUN))
    with Record(folder / 'record.txt') as record:
        sys.exit(_run(play, record, has_trouble))


def _run(play: Play, record: Record, has_trouble: bool) -> int:
    record.write('case', trouble=int(has_trouble))
    try:
        with tempfile.TemporaryDirectory() as name:
            violations = asyncio.run(
                asyncio.wait_for(
                    play(pathlib.Path(name), record, has_trouble), _TIMEOUT_S
                )
            )
    except Exception as error:
        traceback.print_exc()
        record.write('not_run', error=repr(error))
        return _EXIT_NOT_RUN
    for violation in violations:
        record.write('violation', text=violation)
        sys.stdout.write(f'{violation}\n')
    record.write('end', violations=len(violations))
    return _EXIT_BROKEN if violations else _EXIT_HELD
