"""Reads the store on the few VMs that have to."""

import dataclasses
import random
from collections.abc import Callable

import anyio

from jacinthcart.readings._lease import ReadingLease
from jacinthcart.readings._source import (
    BaseStore,
    StoreError,
    StoreHistoryLostError,
)
from jacinthcart.readings._table import ItemTable
from jacinthcart.telemetry import Logger, Metrics

#: Everything below this prefix is read for proof.
_ALL = ''
_RETRY_FIRST_S = 0.2
_RETRY_MOST_S = 1.0
#: Time between two looks at whether this VM has to read.
_LOOK_S = 0.25


@dataclasses.dataclass(frozen=True)
class ReaderTerms:
    """When a VM reads the store and how often."""

    #: VMs that always read, the first of the rank.
    readers: int = 1
    #: Seconds after the start for which a VM that is no seed expects its
    #: peers to know the store already.
    start_s: float = 0.35
    #: Age in seconds of the peers' proof at which the next VM begins. A
    #: proof is normally at most 1.3 s old after two steps between VMs.
    takeover_s: float = 1.5
    #: Seconds that each further rank waits longer.
    takeover_step_s: float = 0.15
    #: Seconds between two readings that renew the proof.
    proof_interval_s: float = 0.6
    #: Prefix of what the proof must cover; the rest comes by watch.
    proof_prefix: str = ''
    #: Longest wait of a watch in seconds; longer than the second for which
    #: a watch may hear nothing before the store drops its history.
    watch_s: float = 2.5
    #: Seconds between the end of a watch with news and the next one, so
    #: that announcements in quick succession cost one call.
    watch_pause_s: float = 0.15
    #: Seconds after which a reading is given up.
    read_timeout_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class ReaderPlace:
    """This VM's place among those that may read."""

    #: Returns the rank among live members, from 0.
    find_rank: Callable[[], int]
    #: Returns the factor by which the fleet's messages are slower than
    #: those of a small fleet.
    find_pace: Callable[[], float]
    #: Whether the VM is one that others ask first.
    is_seed: bool


class StoreReader:
    """Keeps the table and the lease current while this VM has to read."""

    def __init__(
        self,
        store: BaseStore,
        table: ItemTable,
        lease: ReadingLease,
        place: ReaderPlace,
        *,
        terms: ReaderTerms,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Keep the collaborators."""
        self._store = store
        self._table = table
        self._lease = lease
        self._place = place
        self._started_at = lease.clock()
        self._terms = terms
        self._logger = logger
        self._metrics = metrics
        self._random = random.Random()
        self._watched_from: int | None = None
        self._is_available = True

    def has_duty(self) -> bool:
        """Return whether this VM has to read now."""
        terms = self._terms
        if not self._place.is_seed and self._is_starting():
            return False
        rank = self._place.find_rank()
        if rank < terms.readers:
            return True
        steps_s = terms.takeover_step_s * (rank - terms.readers)
        patience_s = terms.takeover_s * self._place.find_pace() + steps_s
        return self._lease.peer_age_s > patience_s

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_proofs)
            tasks.start_soon(self._run_watch)

    def _is_starting(self) -> bool:
        age_s = self._lease.clock() - self._started_at
        return age_s < self._terms.start_s

    async def _run_proofs(self) -> None:
        failures = 0
        while True:
            if not self.has_duty():
                await anyio.sleep(_LOOK_S)
                continue
            if await self._prove():
                failures = 0
                await anyio.sleep(self._terms.proof_interval_s)
            else:
                failures += 1
                await self._back_off(failures)

    async def _run_watch(self) -> None:
        failures = 0
        while True:
            if not self.has_duty():
                self._watched_from = None
                await anyio.sleep(_LOOK_S)
                continue
            if await self._follow():
                failures = 0
            else:
                failures += 1
                await self._back_off(failures)

    async def _back_off(self, failures: int) -> None:
        longest_s = min(_RETRY_MOST_S, _RETRY_FIRST_S * 2**failures)
        await anyio.sleep(longest_s * (0.5 + self._random.random() / 2))

    async def _prove(self) -> bool:
        prefix = self._terms.proof_prefix
        sent_at = self._lease.clock()
        try:
            page = await self._store.read(prefix, self._terms.read_timeout_s)
        except StoreError as error:
            self._note_failure(error)
            return False
        self._note_success()
        self._table.replace_below(prefix, page.items, page.revision)
        if self._watched_from is not None or prefix == _ALL:
            self._lease.note_own_reading(sent_at)
        return True

    async def _follow(self) -> bool:
        try:
            if self._watched_from is None:
                await self._read_all()
            else:
                await self._watch()
        except StoreHistoryLostError:
            self._watched_from = None
            self._logger.info('store history lost; reading everything')
        except StoreError as error:
            self._note_failure(error)
            return False
        return True

    async def _read_all(self) -> None:
        sent_at = self._lease.clock()
        page = await self._store.read(_ALL, self._terms.read_timeout_s)
        self._note_success()
        self._table.replace_below(_ALL, page.items, page.revision)
        self._table.note_complete(page.revision)
        self._watched_from = page.revision
        self._lease.note_own_reading(sent_at)

    async def _watch(self) -> None:
        after = self._watched_from
        if after is None:
            return
        watched = await self._store.watch(after, self._terms.watch_s)
        self._note_success()
        self._table.merge(watched.items)
        self._watched_from = max(after, watched.revision)
        self._table.note_complete(self._watched_from)
        if watched.items:
            await anyio.sleep(self._terms.watch_pause_s)

    def _note_failure(self, error: StoreError) -> None:
        self._metrics.count('store_call', 'failed')
        if self._is_available:
            self._logger.warning(
                'platform store unavailable',
                limit_key='store_unavailable',
                error=str(error),
                proof_age_s=round(self._lease.age_s, 3),
            )
        self._is_available = False

    def _note_success(self) -> None:
        self._metrics.count('store_call', 'answered')
        if not self._is_available:
            self._logger.info('platform store available again')
        self._is_available = True
