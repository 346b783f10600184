"""Reads the store on the few VMs that have to."""

import dataclasses
import random
from collections.abc import Callable

import anyio

from jacinthcart.readings._lease import FreshnessLease
from jacinthcart.readings._source import (
    BaseStore,
    StoreError,
    StoreHistoryLostError,
)
from jacinthcart.readings._table import ItemTable
from jacinthcart.telemetry import Logger, Metrics

#: Everything below this prefix is read for proof.
_ALL = ''
_RETRY_BASE_S = 0.2
_RETRY_MAX_S = 1.0
#: Time between two looks at whether this VM has to read.
_DUTY_CHECK_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class ReaderParameters:
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
class ReaderRole:
    """This VM's role among those that may read."""

    #: Returns the rank among live members, from 0.
    find_rank: Callable[[], int]
    #: Returns the factor by which the fleet's messages are slower than
    #: those of a small fleet.
    compute_interval_factor: Callable[[], float]
    #: Whether the VM is one that others ask first.
    is_seed: bool


class StoreReader:
    """Keeps the table and the lease current while this VM has to read."""

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
        """Keep the collaborators."""
        self._store = store
        self._table = table
        self._lease = lease
        self._role = role
        self._started_at = lease.clock()
        self._params = params
        self._logger = logger
        self._metrics = metrics
        self._random = random.Random()
        self._watched_from: int | None = None
        self._is_available = True

    def must_read(self) -> bool:
        """Return whether this VM has to read now."""
        params = self._params
        if not self._role.is_seed and self._is_starting():
            return False
        rank = self._role.find_rank()
        if rank < params.readers:
            return True
        steps_s = params.takeover_step_s * (rank - params.readers)
        takeover_age_s = (
            params.takeover_s * self._role.compute_interval_factor() + steps_s
        )
        return self._lease.peer_age_s > takeover_age_s

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_proof_renewal)
            tasks.start_soon(self._run_watch)

    def _is_starting(self) -> bool:
        age_s = self._lease.clock() - self._started_at
        return age_s < self._params.start_s

    async def _run_proof_renewal(self) -> None:
        failures = 0
        while True:
            if not self.must_read():
                await anyio.sleep(_DUTY_CHECK_INTERVAL_S)
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
                await anyio.sleep(_DUTY_CHECK_INTERVAL_S)
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
            page = await self._store.read(prefix, self._params.read_timeout_s)
        except StoreError as error:
            self._record_failure(error)
            return False
        self._record_success()
        self._table.replace_prefix(prefix, page.items, page.revision)
        if self._watched_from is not None or prefix == _ALL:
            self._lease.record_own_read(sent_at)
        return True

    async def _read_changes(self) -> bool:
        try:
            if self._watched_from is None:
                await self._read_all()
            else:
                await self._watch()
        except StoreHistoryLostError:
            self._watched_from = None
            self._logger.info('store history lost; reading everything')
        except StoreError as error:
            self._record_failure(error)
            return False
        return True

    async def _read_all(self) -> None:
        sent_at = self._lease.clock()
        page = await self._store.read(_ALL, self._params.read_timeout_s)
        self._record_success()
        self._table.replace_prefix(_ALL, page.items, page.revision)
        self._table.mark_complete_to(page.revision)
        self._watched_from = page.revision
        self._lease.record_own_read(sent_at)

    async def _watch(self) -> None:
        after = self._watched_from
        if after is None:
            return
        watched = await self._store.watch(after, self._params.watch_s)
        self._record_success()
        self._table.merge(watched.items)
        self._watched_from = max(after, watched.revision)
        self._table.mark_complete_to(self._watched_from)
        if watched.items:
            await anyio.sleep(self._params.watch_pause_s)

    def _record_failure(self, error: StoreError) -> None:
        self._metrics.count('store_call', 'failed')
        if self._is_available:
            self._logger.warning(
                'platform store unavailable',
                limit_key='store_unavailable',
                error=str(error),
                proof_age_s=round(self._lease.age_s, 3),
            )
        self._is_available = False

    def _record_success(self) -> None:
        self._metrics.count('store_call', 'answered')
        if not self._is_available:
            self._logger.info('platform store available again')
        self._is_available = True
