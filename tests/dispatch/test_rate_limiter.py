"""Tests of the rate limit on new connections."""

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


class RateLimiterTest(unittest.TestCase):
    """Events are spaced at the rate; cancelled waits do not count."""

    def test_events_are_spaced_after_the_burst(self) -> None:
        """Guards against more new connections than the policy allows."""

        async def test() -> None:
            limiter = RateLimiter(trio.current_time)
            started_at = trio.current_time()
            async with anyio.create_task_group() as tasks:
                for _ in range(200):
                    tasks.start_soon(limiter.wait, RATE)
            elapsed_s = trio.current_time() - started_at
            self.assertAlmostEqual(elapsed_s, 149 / RATE)

        run_virtual(test)

    def test_cancelled_waits_do_not_count(self) -> None:
        """Guards against timed-out requests delaying all later ones."""

        async def wait_until_timeout(limiter: RateLimiter) -> None:
            with anyio.move_on_after(0.5):
                await limiter.wait(RATE)

        async def test() -> None:
            limiter = RateLimiter(trio.current_time)
            async with anyio.create_task_group() as tasks:
                for _ in range(500):
                    tasks.start_soon(wait_until_timeout, limiter)
            asked_at = trio.current_time()
            await limiter.wait(RATE)
            self.assertLessEqual(trio.current_time() - asked_at, 1 / RATE)

        run_virtual(test)
