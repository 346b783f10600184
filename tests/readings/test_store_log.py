"""Tests of the trace of a store whose revision goes back."""

import unittest
from typing import Any

import anyio
import logbook

from jacinthcart.readings import (
    FreshnessLease,
    ItemTable,
    ReaderParameters,
    ReaderRole,
    ReadResult,
    StoreReader,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.readings.test_reader import FakeStore
from tests.support import run_in_virtual_time


class EraStore(FakeStore):
    """A store that states its era."""

    async def read(self, prefix: str, timeout_s: float) -> ReadResult:
        """Return the items with the prefix."""
        result = await super().read(prefix, timeout_s)
        return ReadResult(result.items, result.revision, era=2)


class StoreReaderTraceTests(unittest.TestCase):
    """A reader notices that the store came back from an older copy."""

    def setUp(self) -> None:
        """Create a store at revision 3 and metrics."""
        self.store = EraStore()
        self.metrics = Metrics()

    def test_return_of_the_store_is_logged_once(self) -> None:
        """Guards against a return that leaves no trace."""
        lines = self._read([9, 6, 7])
        self.assertEqual(
            lines, [{'former': '2.9', 'current': '3.6', 'stated_era': 2}]
        )
        self.assertEqual(self._count(), 1)

    def test_each_return_is_counted(self) -> None:
        """Guards against counting only the first return of a series."""
        self._read([9, 6, 8, 5])
        self.assertEqual(self._count(), 2)

    def test_rising_revision_leaves_no_trace(self) -> None:
        """Guards against alarms in normal operation."""
        self.assertEqual(self._read([3, 4, 4, 9]), [])
        self.assertEqual(self._count(), 0)

    def _read(self, revisions: list[int]) -> list[dict[str, Any]]:
        """Return the lines of a reader whose store has these revisions."""
        with logbook.TestHandler() as handler:
            run_in_virtual_time(self._run_reader, revisions)
        return [
            record.extra['fields']
            for record in handler.records
            if record.message == 'store came back from an older copy'
        ]

    async def _run_reader(self, revisions: list[int]) -> None:
        reader = StoreReader(
            self.store,
            ItemTable(),
            FreshnessLease(anyio.current_time),
            ReaderRole(int, lambda: 1, is_seed=True),
            params=ReaderParameters(proof_prefix='op/'),
            logger=create_logger('test'),
            metrics=self.metrics,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reader.run)
            for revision in revisions:
                self.store.revision = revision
                await anyio.sleep(4)
            tasks.cancel_scope.cancel()

    def _count(self) -> int:
        return self.metrics.counts_by_key[('store', 'returned')]
