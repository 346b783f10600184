"""Tests of when callers return that were refused because of a rate limit."""

import random
import unittest
from collections.abc import Callable

import anyio

from jacinthcart.quota import ReturnParameters, ReturnSchedule
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket
from tests.support import ManualClock, run_in_virtual_time

_RATE_PER_S = 24.0
#: Requests that arrive within `_BURST_S` after an outage, and the rate of the
#: others.
_BURST_REQUESTS = 40
_BURST_S = 0.3
_STEADY_PER_S = 12.0
_DURATION_S = 6.0
#: Longest wait of a caller in seconds, and how often it returns.
_PATIENCE_S = 1.0
_RETURNS = 1

#: Returns the seconds after which a refused caller may return.
_Reserve = Callable[[], float]


class ReturnScheduleTests(unittest.TestCase):
    """Each refused caller gets a turn of its own."""

    def setUp(self) -> None:
        """Create a schedule."""
        self.clock = ManualClock()
        self.schedule = ReturnSchedule(self.clock, ReturnParameters())

    def test_turns_follow_each_other(self) -> None:
        """Guards against callers that return at the same moment."""
        waits_s = [self.schedule.reserve('mill', 20) for _ in range(3)]
        for wait_s, expected_s in zip(waits_s, (0.1, 0.2, 0.3), strict=True):
            self.assertAlmostEqual(wait_s, expected_s)

    def test_wait_is_bounded(self) -> None:
        """Guards against a schedule that grows in a long overload."""
        for _ in range(1000):
            wait_s = self.schedule.reserve('mill', 20)
        self.assertAlmostEqual(wait_s, 1)
        self.assertAlmostEqual(self.schedule.reserve('other', 0), 1)

    def test_turns_of_the_past_are_forgotten(self) -> None:
        """Guards against long waits after an overload has ended."""
        for _ in range(10):
            self.schedule.reserve('mill', 20)
        self.clock.advance(5)
        self.assertAlmostEqual(self.schedule.reserve('mill', 20), 0.1)

    def test_removed_workspaces_are_forgotten(self) -> None:
        """Guards against memory that grows with every workspace."""
        self.schedule.reserve('mill', 20)
        self.schedule.retain_only(set())
        self.assertFalse(self.schedule._last_turn_by_workspace)


class ReturnLoadTests(unittest.TestCase):
    """After an outage, more callers than the rate allows come at once."""

    def test_more_callers_are_served_than_with_one_return_time(self) -> None:
        """Guards against callers that are all refused a second time.

        They returned after the interval of the rate, one of them was granted,
        and the tokens of the following second were unused.
        """
        refused = run_in_virtual_time(self._play_schedule)
        refused_before = run_in_virtual_time(self._play_interval)
        self.assertGreater(refused_before, 0.4 * _BURST_REQUESTS)
        self.assertLess(refused, 0.6 * refused_before)

    async def _play_schedule(self) -> int:
        schedule = ReturnSchedule(anyio.current_time, ReturnParameters())
        return await _play(lambda: schedule.reserve('mill', _RATE_PER_S))

    async def _play_interval(self) -> int:
        return await _play(lambda: 1 / _RATE_PER_S)


async def _play(reserve: _Reserve) -> int:
    """Return the number of callers that were never granted a request."""
    bucket = TokenBucket(
        _RATE_PER_S, _RATE_PER_S, anyio.current_time, Metrics()
    )
    source = random.Random(1)
    refused = 0

    async def call(delay_s: float) -> None:
        nonlocal refused
        await anyio.sleep(delay_s)
        for _ in range(_RETURNS):
            if bucket.take(1):
                return
            await anyio.sleep(min(reserve(), _PATIENCE_S))
        refused += not bucket.take(1)

    async with anyio.create_task_group() as tasks:
        for _ in range(_BURST_REQUESTS):
            tasks.start_soon(call, source.random() * _BURST_S)
        for _ in range(int(_STEADY_PER_S * _DURATION_S)):
            tasks.start_soon(call, source.random() * _DURATION_S)
    return refused
