"""Tests of which VMs read the store."""

import unittest

import anyio

from jacinthcart.readings import (
    BaseStore,
    FreshnessLease,
    ItemTable,
    ReadResult,
    ReaderParameters,
    ReaderRole,
    StoredItem,
    StoreError,
    StoreHistoryLostError,
    StoreReader,
    WatchResult,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import run_in_virtual_time


class FakeStore(BaseStore):
    """A store with configurable failures."""

    def __init__(self) -> None:
        """Start with one item, in an era that is not stated."""
        self.era: int | None = None
        self.items = {'op/config': StoredItem('op/config', 3, b'{}')}
        self.revision = 3
        self.is_down = False
        self.is_history_lost = False
        self.calls = 0

    async def read(self, prefix: str, timeout_s: float) -> ReadResult:
        """Return the items with the prefix."""
        self.calls += 1
        await anyio.sleep(0.004)
        if self.is_down:
            raise StoreError('down')
        found = [
            item for key, item in self.items.items() if key.startswith(prefix)
        ]
        return ReadResult(tuple(found), self.revision, self.era)

    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Return no changes after the wait."""
        self.calls += 1
        if self.is_history_lost:
            self.is_history_lost = False
            raise StoreHistoryLostError('gone')
        await anyio.sleep(wait_s)
        if self.is_down:
            raise StoreError('down')
        return WatchResult((), self.revision, self.era)

    async def close(self) -> None:
        """Nothing to close."""


class StoreReaderTests(unittest.TestCase):
    """Few VMs read, and others take over within seconds."""

    def test_first_rank_reads(self) -> None:
        """Guards against readers that all wait for proofs of each other."""
        run_in_virtual_time(self._read, 0, 0.1)
        self.assertLess(self.lease.age_s, 1.5)

    def test_later_rank_does_not_read_while_peers_have_proofs(self) -> None:
        """Guards against charged reads by every VM of a large fleet."""
        run_in_virtual_time(self._read, 5, 0.1)
        self.assertEqual(self.store.calls, 0)

    def test_later_rank_takes_over_when_peers_have_no_proof(self) -> None:
        """Readers that are cut off must be replaced."""
        run_in_virtual_time(self._read, 5, None)
        self.assertLess(self.lease.age_s, 1.5)

    def test_watch_without_history_reads_everything_again(self) -> None:
        """Changes in the lost part of the history must not be missed."""
        run_in_virtual_time(self._read_after_history_is_lost)
        self.assertEqual(len(self.table.list_existing('servers/')), 1)

    def test_calls_to_a_failed_store_back_off(self) -> None:
        """Guards against frequent failed calls, which are charged, too."""
        run_in_virtual_time(self._read_while_down)
        self.assertLess(self.store.calls, 40)

    async def _read(self, rank: int, peer_age_s: float | None) -> None:
        self._create(rank)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            for _ in range(40):
                if peer_age_s is not None:
                    self.lease.record_peer_proof(
                        anyio.current_time(),
                        peer_age_s,
                    )
                await anyio.sleep(0.1)
            self.lease = _freeze(self.lease)
            tasks.cancel_scope.cancel()

    async def _read_after_history_is_lost(self) -> None:
        self._create(0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            await anyio.sleep(1)
            self.store.items['servers/a'] = StoredItem('servers/a', 8, b'{}')
            self.store.revision = 8
            self.store.is_history_lost = True
            await anyio.sleep(4)
            tasks.cancel_scope.cancel()

    async def _read_while_down(self) -> None:
        self._create(0)
        self.store.is_down = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            await anyio.sleep(10)
            tasks.cancel_scope.cancel()

    def _create(self, rank: int) -> None:
        self.store = FakeStore()
        self.table = ItemTable()
        self.lease = FreshnessLease(anyio.current_time)
        self.reader = StoreReader(
            self.store,
            self.table,
            self.lease,
            ReaderRole(lambda: rank, lambda: 1, is_seed=True),
            params=ReaderParameters(proof_prefix='op/'),
            logger=create_logger('test'),
            metrics=Metrics(),
        )


def _freeze(lease: FreshnessLease) -> FreshnessLease:
    now = anyio.current_time()
    frozen = FreshnessLease(lambda: now)
    frozen.record_own_read(lease.proof_at)
    return frozen
