"""Tests of the processor time of coroutines."""

import gc
import weakref
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase

import anyio

from jacinthcart.streams._steps import MeasuredSteps


class _Processor:
    """A processor whose time passes when the test says so."""

    def __init__(self) -> None:
        """Create a processor that has done nothing."""
        self.used_s = 0.0
        self.recorded: list[float] = []

    def read_s(self) -> float:
        """Return the processor time used."""
        return self.used_s

    def measure(self, work: Any) -> MeasuredSteps[Any]:
        """Return the measured coroutine."""
        return MeasuredSteps(work, self.read_s, self.recorded.append)


class MeasuredStepsTests(TestCase):
    """Steps are measured without other tasks, and nothing is lost."""

    def test_time_of_other_tasks_does_not_count(self) -> None:
        """Guards against a caller that is charged for the work of others."""
        for backend in ('asyncio', 'trio'):
            with self.subTest(backend):
                processor = _run(backend, self._share)
                self.assertEqual(sum(processor.recorded), 5)
                self.assertEqual(processor.used_s, 105)

    def test_cancellation_reaches_the_coroutine(self) -> None:
        """Guards against requests that go on after their caller has left."""
        for backend in ('asyncio', 'trio'):
            with self.subTest(backend):
                processor = _run(backend, self._cancel)
                self.assertEqual(processor.recorded, [1, 2])

    def test_error_leaves_no_cycle(self) -> None:
        """Guards against errors that keep requests until a collection."""
        gc.collect()
        gc.disable()
        try:
            for backend in ('asyncio', 'trio'):
                with self.subTest(backend):
                    self.assertIsNone(_run(backend, self._fail)())
        finally:
            gc.enable()

    async def _share(self) -> _Processor:
        processor = _Processor()

        async def work() -> str:
            for _ in range(5):
                processor.used_s += 1
                await anyio.sleep(0.001)
            return 'returned'

        async def work_beside() -> None:
            processor.used_s += 100

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(work_beside)
            self.assertEqual(await processor.measure(work()), 'returned')
        return processor

    async def _cancel(self) -> _Processor:
        processor = _Processor()

        async def work() -> None:
            processor.used_s += 1
            try:
                await anyio.sleep_forever()
            finally:
                processor.used_s += 2

        with anyio.move_on_after(0.01) as scope:
            await processor.measure(work())
        self.assertTrue(scope.cancelled_caught)
        return processor

    async def _fail(self) -> 'weakref.ref[_Processor]':
        processor = _Processor()

        async def work(kept: _Processor) -> None:
            with anyio.fail_after(0):
                await anyio.sleep_forever()

        with self.assertRaises(TimeoutError):
            await processor.measure(work(processor))
        return weakref.ref(processor)


def _run(backend: str, function: Callable[[], Awaitable[Any]]) -> Any:
    return anyio.run(function, backend=backend)
