"""Tests of the limit on the processor time for long messages."""

import asyncio
import functools
import itertools
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase, mock

import anyio
from anyio.lowlevel import checkpoint
from trio.testing import MockClock

from jacinthcart.streams import (
    SLICE_BYTES,
    MessageProcessing,
    ProcessingBudget,
    ProcessingParameters,
)

_PARAMS = ProcessingParameters()
#: Processor time of a slice of small pieces.
_SLICE_S = 0.0007
_ENDLESS_MESSAGES = 200
_TIMEOUT_S = 20


class _Processor:
    """A processor whose time only parsing takes."""

    def __init__(self) -> None:
        """Create a processor that has done nothing."""
        self.used_s = 0.0
        self.slices = 0
        self.reads = 0

    def read_s(self) -> float:
        """Return the processor time used."""
        self.reads += 1
        return self.used_s

    def parse(self) -> None:
        """Parse a slice."""
        self.slices += 1
        self.used_s += _SLICE_S


class ProcessingBudgetTests(TestCase):
    """Long messages together take a share of the processor."""

    def setUp(self) -> None:
        """Create a budget of a simulated processor."""
        self.processor = _Processor()
        self.budget = ProcessingBudget(
            _PARAMS, read_processor_s=self.processor.read_s
        )

    def test_endless_messages_leave_most_of_the_processor(self) -> None:
        """Guards against endless messages that stop all other work."""
        _run(self._read_endless, 1)
        shared_s = _PARAMS.burst_s + _PARAMS.processor_share
        free_s = _SLICE_S * _ENDLESS_MESSAGES
        used_s = self.processor.used_s - free_s
        self.assertLessEqual(used_s, shared_s + 2 * _SLICE_S)
        # The share is used: the limit does not hold messages back for good.
        self.assertGreater(used_s, 0.9 * shared_s)
        self.assertAlmostEqual(
            self.budget.used_s_by_source['endless'], used_s, 3
        )

    def test_other_tasks_run_between_slices(self) -> None:
        """Guards against tasks that wait while a full budget is used up."""
        self.assertLessEqual(_run(self._measure_longest_turn), 3)

    def test_turn_of_short_slices_is_used_up(self) -> None:
        """Guards against turns that cost more than what they limit."""
        names = _run(self._read_short)
        turns = [len(list(group)) for _, group in itertools.groupby(names)]
        self.assertGreaterEqual(len(names) / len(turns), 2)

    def test_long_message_passes_endless_ones_of_other_sources(self) -> None:
        """Guards against a sound searcher that waits for a faulty one.

        1 MB in pieces needs the whole share of 1.1 seconds.
        """
        self.assertLess(_run(self._measure_long, 'sound', 250), 1.5)

    def test_long_message_passes_endless_ones_of_its_source(self) -> None:
        """Guards against messages served in the order of their arrival."""
        self.assertLess(_run(self._measure_long, 'endless', 10), 0.2)

    def test_small_messages_do_not_use_the_budget(self) -> None:
        """Guards against system calls and waits for ordinary messages."""
        self.assertEqual(_run(self._read_small), 0)

    def test_cancelled_messages_leave_nothing_behind(self) -> None:
        """Guards against a time limit that waits and a turn that is lost."""
        self.assertEqual(_run(self._cancel), 0.5)
        self.assertEqual(self.budget.waiting_messages, 0)

    def test_cancelled_turn_is_passed_on(self) -> None:
        """Guards against a limit that stops all when one turn is not used."""
        for cancelled in range(4):
            with self.subTest(cancelled):
                self.setUp()
                self.assertEqual(_run(self._cancel_waiting, cancelled), 3)
                self.assertEqual(self.budget.waiting_messages, 0)

    def test_turn_of_an_ended_task_is_passed_on(self) -> None:
        """Guards against a turn that a task gets as it is cancelled."""
        asyncio.run(asyncio.wait_for(self._end_task_with_turn(), _TIMEOUT_S))
        self.assertEqual(self.budget.waiting_messages, 0)

    def test_error_of_a_slice_ends_its_turn(self) -> None:
        """Guards against a malformed message that stops the others."""
        _run(self._fail)
        self.assertEqual(self.budget.waiting_messages, 0)

    def test_unusually_long_slice_does_not_stop_others(self) -> None:
        """Guards against a pause of the process that is paid for minutes."""
        self.assertLess(_run(self._measure_after_pause), 1)

    def test_sources_are_bounded(self) -> None:
        """Guards against memory for each searcher there ever was."""
        names = _run(self._use_sources)
        self.assertEqual(len(names), 1024)
        self.assertIn('last', names)

    def test_sources_that_left_are_dropped(self) -> None:
        """Guards against metrics of searchers that are gone."""
        _run(self._read_endless, 0.1)
        self.budget.retain_only(set())
        self.assertEqual(self.budget.used_s_by_source, {})

    def test_waits_on_asyncio(self) -> None:
        """Guards against a wait that only one event loop supports."""
        anyio.run(self._read, self.budget.open('sound'), 100)
        self.assertAlmostEqual(self.processor.used_s, 100 * _SLICE_S)

    async def _read(self, message: MessageProcessing, slices: float) -> None:
        done = 0
        while done < slices:
            await message.process(SLICE_BYTES, self.processor.parse)
            done += 1

    async def _read_short(self) -> list[str]:
        """Return whose slices, each of 0.2 ms, were parsed in order."""
        names: list[str] = []

        def parse(name: str) -> None:
            names.append(name)
            self.processor.used_s += 0.0002

        async def read(name: str) -> None:
            message = self.budget.open(name)
            while True:
                await message.process(
                    SLICE_BYTES, functools.partial(parse, name)
                )

        with anyio.move_on_after(1):
            async with anyio.create_task_group() as tasks:
                for name in ('a', 'b', 'c'):
                    tasks.start_soon(read, name)
        return names

    async def _read_endless(self, time_s: float) -> None:
        with anyio.move_on_after(time_s):
            async with anyio.create_task_group() as tasks:
                for _ in range(_ENDLESS_MESSAGES):
                    message = self.budget.open('endless')
                    tasks.start_soon(self._read, message, float('inf'))

    async def _measure_long(self, source: str, slices: int) -> float:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_endless, 100)
            await anyio.sleep(10)
            await self._read(self.budget.open(source), slices)
            ended_at = anyio.current_time()
            tasks.cancel_scope.cancel()
        return ended_at - 10

    async def _measure_longest_turn(self) -> int:
        """Return the most slices that are parsed between two other turns."""
        longest = 0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read, self.budget.open('a'), 60)
            while self.processor.slices < 60:
                before = self.processor.slices
                await checkpoint()
                longest = max(longest, self.processor.slices - before)
        return longest

    async def _read_small(self) -> int:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_endless, 5)
            await anyio.sleep(1)
            reads = self.processor.reads
            for _ in range(1000):
                await self._read(self.budget.open('sound'), 1)
            tasks.cancel_scope.cancel()
            return self.processor.reads - reads

    async def _cancel(self) -> float:
        await self._read_endless(0.5)
        return anyio.current_time()

    async def _cancel_waiting(self, cancelled: int) -> int:
        ended = 0

        async def read(scope: anyio.CancelScope) -> None:
            nonlocal ended
            with scope:
                await self._read(self.budget.open('a'), 20)
                ended += 1

        # The budget is used up, so that all four wait.
        await self._read(self.budget.open('b'), 73)
        scopes = [anyio.CancelScope() for _ in range(4)]
        async with anyio.create_task_group() as tasks:
            for scope in scopes:
                tasks.start_soon(read, scope)
            while self.budget.waiting_messages < 4:
                await checkpoint()
            scopes[cancelled].cancel()
        return ended

    async def _end_task_with_turn(self) -> None:
        clock = mock.Mock(return_value=0)
        self.budget = ProcessingBudget(_PARAMS, clock, self.processor.read_s)
        await self._read(self.budget.open('a'), 73)
        leading = asyncio.create_task(self._read(self.budget.open('a'), 2))
        await asyncio.sleep(0)
        ended = asyncio.create_task(self._read(self.budget.open('b'), 2))
        while self.budget.waiting_messages < 2:
            await asyncio.sleep(0)

        def read_clock() -> float:
            # Runs after the turn is given and before the task gets it.
            asyncio.get_running_loop().call_soon(ended.cancel)
            return 10

        clock.side_effect = read_clock
        with self.assertRaises(asyncio.CancelledError):
            await ended
        await leading

    async def _fail(self) -> None:
        def fail() -> None:
            self.processor.parse()
            raise ValueError

        async def read() -> None:
            message = self.budget.open('a')
            await self._read(message, 40)
            with self.assertRaises(ValueError):
                await message.process(SLICE_BYTES, fail)

        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(read)

    async def _measure_after_pause(self) -> float:
        message = self.budget.open('a')
        await self._read(message, 2)
        await message.process(1, self._pause)
        await self._read(message, 2)
        return anyio.current_time()

    def _pause(self) -> None:
        self.processor.used_s += 30

    async def _use_sources(self) -> list[str]:
        for number in range(2000):
            await self._read(self.budget.open(str(number)), 2)
        await self._read(self.budget.open('last'), 2)
        return list(self.budget.used_s_by_source)


def _run(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run in virtual time, which begins at 0."""

    async def run() -> Any:
        with anyio.fail_after(1000):
            return await function(*arguments)

    return anyio.run(
        run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
