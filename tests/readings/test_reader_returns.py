"""Tests of a reader whose store comes back from an older copy."""

import unittest

import anyio

from jacinthcart.readings import (
    FreshnessLease,
    ItemTable,
    Position,
    ReaderParameters,
    ReaderRole,
    StoredItem,
    StoreReader,
    WatchResult,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.readings.test_reader import FakeStore
from tests.support import create_item, run_in_virtual_time

#: Seconds within which a reader has read everything again. Two reads of the
#: operator's keys are at most 0.6 s apart.
_READ_BOUND_S = 1.0


class ReturningStore(FakeStore):
    """A store with entries of searchers."""

    def __init__(self) -> None:
        """Start in era 1 at revision 900."""
        super().__init__()
        self.era = 1
        self.revision = 900
        self.has_hanging_watches = False
        self.put('servers/a', 890, b'ready')

    def put(self, key: str, revision: int, content: bytes) -> None:
        """Store an item."""
        self.items[key] = StoredItem(key, revision, content)

    def come_back(self, revision: int, era: int | None = 2) -> None:
        """Return from an older copy, with one write since."""
        self.era = era
        self.revision = revision
        self.put('servers/a', revision, b'draining')

    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Wait until the timeout, or for good while watches hang."""
        if self.has_hanging_watches:
            await anyio.sleep_forever()
        return await super().watch(after, wait_s)


class StoreReturnTests(unittest.TestCase):
    """The reader reads everything again after a return."""

    def test_hanging_watch_does_not_delay_the_complete_read(self) -> None:
        """Guards against leaving searchers that get requests for seconds."""
        run_in_virtual_time(self._read_return, 870, 2)
        self.assertEqual(self._get_entry(), b'draining')

    def test_return_without_a_stated_era_is_found(self) -> None:
        """Guards against depending on the header of the store."""
        run_in_virtual_time(self._read_return, 870, None)
        self.assertEqual(self._get_entry(), b'draining')

    def test_return_beyond_the_known_revision_is_found(self) -> None:
        """Guards against a watch that continues in another history."""
        run_in_virtual_time(self._read_return, 950, 2)
        self.assertEqual(self._get_entry(), b'draining')

    def test_watch_of_another_era_is_not_merged(self) -> None:
        """Guards against a copy that lacks the changes before the watch."""
        run_in_virtual_time(self._watch_return)
        self.assertEqual(self.table.complete_to, Position(2, 960))
        self.assertEqual(self._get_entry(), b'draining')

    def test_watch_with_a_lower_revision_leads_to_a_read(self) -> None:
        """Guards against a return that only a watch sees."""
        run_in_virtual_time(self._watch_fall)
        self.assertEqual(self._get_entry(), b'draining')

    def test_era_of_a_peer_leads_to_a_read(self) -> None:
        """Guards against a watch in an era that peers know to be over."""
        run_in_virtual_time(self._learn_return)
        self.assertEqual(self._get_entry(), b'draining')

    async def _read_return(self, revision: int, era: int | None) -> None:
        store = self._create()
        store.era = None if era is None else 1
        store.has_hanging_watches = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            await anyio.sleep(1)
            store.come_back(revision, era)
            await anyio.sleep(_READ_BOUND_S)
            tasks.cancel_scope.cancel()

    async def _watch_return(self) -> None:
        store = self._create(proof_interval_s=60)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            await anyio.sleep(1)
            store.come_back(960)
            await anyio.sleep(3)
            tasks.cancel_scope.cancel()

    async def _watch_fall(self) -> None:
        store = self._create(proof_interval_s=60)
        store.era = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            await anyio.sleep(1)
            store.come_back(870, None)
            await anyio.sleep(3)
            tasks.cancel_scope.cancel()

    async def _learn_return(self) -> None:
        store = self._create(proof_interval_s=60)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            await anyio.sleep(1)
            store.come_back(960)
            self.table.merge([create_item('op/config', 950, b'{}', era=2)])
            await anyio.sleep(3)
            tasks.cancel_scope.cancel()

    def _create(self, proof_interval_s: float = 0.6) -> ReturningStore:
        store = ReturningStore()
        self.table = ItemTable('op/')
        lease = FreshnessLease(anyio.current_time)
        self.reader = StoreReader(
            store,
            self.table,
            lease,
            ReaderRole(int, lambda: 1, is_seed=True),
            params=ReaderParameters(
                proof_prefix='op/', proof_interval_s=proof_interval_s
            ),
            logger=create_logger('test'),
            metrics=Metrics(),
        )
        return store

    def _get_entry(self) -> bytes | None:
        item = self.table.get('servers/a')
        return item.content if item else None
