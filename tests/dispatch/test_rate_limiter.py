"""Tests of the bound on new connections."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from jacinthcart.dispatch._budget import RateLimiter

RATE = 50.0


def run_virtual(test: Callable[[], Awaitable[None]]) -> None:
    """Run `test` in virtual time."""
    anyio.run(
        test,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


class RateGateTest(unittest.TestCase):
    """Turns come at the rate and only to those that still wait."""

    def test_turns_are_spaced_after_the_burst(self) -> None:
        """Guards against more new connections than the policy allows."""

        async def test() -> None:
            gate = RateLimiter(trio.current_time)
            started_at = trio.current_time()
            async with anyio.create_task_group() as tasks:
                for _ in range(200):
                    tasks.start_soon(gate.wait, RATE)
            elapsed_s = trio.current_time() - started_at
            self.assertAlmostEqual(elapsed_s, 149 / RATE)

        run_virtual(test)

    def test_cancelled_waits_use_no_turn(self) -> None:
        """Guards against timed-out requests that block all later ones."""

        async def give_up(gate: RateLimiter) -> None:
            with anyio.move_on_after(0.5):
                await gate.wait(RATE)

        async def test() -> None:
            gate = RateLimiter(trio.current_time)
            async with anyio.create_task_group() as tasks:
                for _ in range(500):
                    tasks.start_soon(give_up, gate)
            asked_at = trio.current_time()
            await gate.wait(RATE)
            self.assertLessEqual(trio.current_time() - asked_at, 1 / RATE)

        run_virtual(test)
