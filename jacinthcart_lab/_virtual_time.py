"""Runs an async function in trio's virtual time, reproducibly by seed."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
from trio._core import _run as trio_scheduler
from trio.testing import MockClock

_Result = TypeVar('_Result')


def run_in_virtual_time(
    function: Callable[..., Awaitable[_Result]],
    *arguments: Any,
    seed: int,
) -> _Result:
    """Run `function(*arguments)`; `seed` determines the order of tasks.

    Trio shuffles runnable tasks with its own random generator. Its switch
    for deterministic scheduling is intended for Hypothesis and is private.
    """
    setattr(trio_scheduler, '_ALLOW_DETERMINISTIC_SCHEDULING', True)
    trio_scheduler._r.seed(seed)
    return anyio.run(
        function,
        *arguments,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
