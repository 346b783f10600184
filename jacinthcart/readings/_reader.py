"""Reads the store on the few VMs that have the reader role."""

import dataclasses
import random
from collections.abc import Callable

import anyio

from jacinthcart.readings._eras import EraTracker
from jacinthcart.readings._item import create_item
from jacinthcart.readings._lease import FreshnessLease
from jacinthcart.readings._merge_log import MergeLog
from jacinthcart.readings._position import Position
from jacinthcart.readings._source import (
    BaseStore,
    StoreError,
    StoreHistoryLostError,
    WatchResult,
)
from jacinthcart.readings._store_log import StoreLog
from jacinthcart.readings._table import ItemTable
from jacinthcart.telemetry import Logger, Metrics

#: Prefix of all keys.
_ALL = ''
_RETRY_BASE_S = 0.2
_RETRY_MAX_S = 1.0
#: Seconds between two checks of whether this VM must read.
_ROLE_CHECK_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class ReaderParameters:
    """When a VM reads the store and how often."""

    #: Number of VMs that always read, from rank 0.
    readers: int = 1
    #: Seconds after the start in which a VM that is not a seed does not
    #: read, as its peers are expected to have the store's data already.
    start_s: float = 0.35
    #: Age in seconds of the peers' proof above which the next VM starts to
    #: read. A proof is normally at most 1.3 s old after two hops.
    takeover_s: float = 1.5
    #: Additional age in seconds for each further rank.
    takeover_step_s: float = 0.15
    #: Seconds between two reads that renew the proof.
    proof_interval_s: float = 0.6
    #: Prefix of the keys that the proof must cover; changes of other keys
    #: arrive by watch.
    proof_prefix: str = ''
    #: Longest wait of a watch in seconds. It is longer than the one second
    #: without an event after which the store may drop its history.
    watch_s: float = 2.5
    #: Seconds between a watch that returned changes and the next one, so
    #: that changes in quick succession cost one call.
    watch_pause_s: float = 0.15
    #: Timeout in seconds of each call of a read.
    read_timeout_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class ReaderRole:
    """This VM's role among the VMs that may read the store."""

    #: Returns this VM's rank among live members, from 0.
    compute_rank: Callable[[], int]
    #: Returns the factor by which message intervals are longer than in a
    #: small fleet.
    compute_interval_factor: Callable[[], float]
    #: Whether this VM is a seed. Other VMs ask seeds first, so a seed reads
    #: without the delay of `ReaderParameters.start_s`.
    is_seed: bool


class StoreReader:
    """Keeps the table and the lease current while this VM must read."""

    def __init__(
        self,
        store: BaseStore,
        table: ItemTable,
        lease: FreshnessLease,
        role: ReaderRole,
        *,
        params: ReaderParameters,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Initialise; `run` starts reading."""
        self._store = store
        self._table = table
        self._lease = lease
        self._role = role
        self._started_at = lease.clock()
        self._params = params
        self._logger = logger
        self._log = StoreLog(lease, logger, metrics)
        self._merge_log = MergeLog(table, logger, metrics)
        self._random = random.Random()
        self._eras = EraTracker(lease.clock)
        #: Position after which the next watch starts; None if all items must
        #: be read first: at the start, after a time without the reader role,
        #: after the store lost its history and in a new era.
        self._watched_from: Position | None = None
        self._watch_scope: anyio.CancelScope | None = None
        #: Where the watch stood at the last read that found later changes.
        self._overtaken_from: Position | None = None

    def must_read(self) -> bool:
        """Return whether this VM must read the store now."""
        params = self._params
        running_s = self._lease.clock() - self._started_at
        if not self._role.is_seed and running_s < params.start_s:
            return False
        rank = self._role.compute_rank()
        if rank < params.readers:
            return True
        steps_s = params.takeover_step_s * (rank - params.readers)
        takeover_age_s = (
            params.takeover_s * self._role.compute_interval_factor() + steps_s
        )
        return self._lease.peer_age_s > takeover_age_s

    async def run(self) -> None:
        """Read and watch the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_proof_renewal)
            tasks.start_soon(self._run_watch)

    async def _run_proof_renewal(self) -> None:
        failures = 0
        while True:
            if not self.must_read():
                await anyio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            if await self._renew_proof():
                failures = 0
                await anyio.sleep(self._params.proof_interval_s)
            else:
                failures += 1
                await self._back_off(failures)

    async def _run_watch(self) -> None:
        failures = 0
        while True:
            if not self.must_read():
                self._watched_from = None
                await anyio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            if await self._read_changes():
                failures = 0
            else:
                failures += 1
                await self._back_off(failures)

    async def _back_off(self, failures: int) -> None:
        max_delay_s = min(_RETRY_MAX_S, _RETRY_BASE_S * 2**failures)
        await anyio.sleep(max_delay_s * (0.5 + self._random.random() / 2))

    async def _renew_proof(self) -> bool:
        prefix = self._params.proof_prefix
        sent_at = self._lease.clock()
        try:
            position = await self._read(prefix)
        except StoreError as error:
            self._log.record_failure(error)
            return False
        self._end_hanging_watch(position)
        # The copy is not current before all items have been read in this era:
        # until then, items outside the prefix may be missing.
        if self._is_watching(position.era) or prefix == _ALL:
            self._lease.record_own_read(sent_at)
        return True

    def _end_hanging_watch(self, position: Position) -> None:
        """End a watch that lacks the changes of two reads in a row."""
        watched_from = self._watched_from
        is_overtaken = watched_from is not None and watched_from < position
        if is_overtaken and self._overtaken_from == watched_from:
            self._end_watch()
        self._overtaken_from = watched_from if is_overtaken else None

    def _end_watch(self) -> None:
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def _read_changes(self) -> bool:
        try:
            if self._is_watching(self._table.newest.era):
                await self._watch()
            else:
                await self._read_all()
        except StoreHistoryLostError:
            self._watched_from = None
            self._logger.info('store history lost; reading all items again')
        except StoreError as error:
            self._log.record_failure(error)
            return False
        return True

    async def _read_all(self) -> None:
        sent_at = self._lease.clock()
        position = await self._read(_ALL)
        self._table.mark_complete_to(position, is_complete_read=True)
        self._watched_from = position
        self._lease.record_own_read(sent_at)

    async def _read(self, prefix: str) -> Position:
        known = self._table.newest
        result = await self._store.read(prefix, self._params.read_timeout_s)
        position = self._eras.resolve(result.era, result.revision, known)
        self._log.record_success()
        self._log.record_position(position, known, result.era)
        items = [create_item(one, position.era) for one in result.items]
        self._merge_log.record_read(items, position)
        self._table.replace_prefix(
            prefix, items, position, None if prefix == _ALL else known
        )
        if not self._is_watching(position.era):
            self._end_watch()
        return position

    async def _watch(self) -> None:
        after = self._watched_from
        if after is None:
            return
        # A read that finds a new era ends the watch, which may never return.
        scope = anyio.CancelScope()
        self._watch_scope = scope
        with scope:
            watched = await self._store.watch(
                after.revision, self._params.watch_s
            )
            await self._merge_watched(watched, after)

    async def _merge_watched(
        self, watched: WatchResult, after: Position
    ) -> None:
        position = Position(
            self._eras.convert(watched.era, after.era), watched.revision
        )
        if position < after or position.era > after.era:
            raise StoreHistoryLostError('watch: store has another history')
        self._log.record_success()
        items = [create_item(one, position.era) for one in watched.items]
        self._merge_log.record_read(items, position)
        self._table.merge(items)
        self._watched_from = position
        self._table.mark_complete_to(position)
        if items:
            await anyio.sleep(self._params.watch_pause_s)

    def _is_watching(self, era: int) -> bool:
        return self._watched_from is not None and self._watched_from.era == era
