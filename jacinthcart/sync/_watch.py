"""Watches the configuration service, with one watch per VM."""

import random
from collections.abc import Callable

import anyio

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.program import Clock
from jacinthcart.settings import SettingsStore, SettingsView
from jacinthcart.sync._backoff import Backoff
from jacinthcart.sync._messages import WatchChanges
from jacinthcart.sync._platform import BasePlatform
from jacinthcart.telemetry import Logger, Metrics

_MIN_INTERVAL_S = 1.0
#: Maximum wait of one call as a fraction of `isolation_ms`.
_WAIT_ISOLATION_FRACTION = 0.4
_MS_PER_S = 1000
_PAUSE_JITTER = (0.9, 1.1)

#: Called on a service contact with the time of sending and the revision.
ContactListener = Callable[[float, int], None]


def compute_watch_interval(view: SettingsView) -> float:
    """Return the seconds between two watch calls of this VM.

    The call rate of the whole fleet stays below `watch_calls_per_s`.
    """
    vm_count = len(view.roster.vms_by_id) if view.roster else 1
    interval_s = vm_count / view.policy.watch_calls_per_s
    return max(_MIN_INTERVAL_S, interval_s)


class WatchLoop:
    """Reports settings changes, contacts with the service and the VM list."""

    def __init__(
        self,
        platform: BasePlatform,
        store: SettingsStore,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Create the loop; set the listeners before `run`."""
        self.on_contact: ContactListener = _ignore_contact
        self.on_changes: Callable[[WatchChanges], None] = _ignore_changes
        self.on_vms: Callable[[dict[str, str]], None] = _ignore_vms
        self._platform = platform
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._logger = logger
        self._random = random_source
        self._backoff = Backoff(random_source)
        self._reread_after: int | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        # A random initial delay spreads the calls of VMs that start together.
        interval_s = compute_watch_interval(self._store.view)
        await anyio.sleep(
            (interval_s - self._compute_wait_s()) * self._random.random(),
        )
        while True:
            await anyio.sleep(await self.poll(self._compute_wait_s()))

    async def run_vm_list(self) -> None:
        """Read the VM list at most once per interval until cancelled."""
        while True:
            await self._poll_vms()
            interval_s = compute_watch_interval(self._store.view)
            await anyio.sleep(interval_s * self._random.uniform(1, 2))

    async def poll(self, wait_s: float) -> float:
        """Call the service once and return the seconds until the next call."""
        sent_at = self._clock()
        after = self._choose_after()
        try:
            changes = await self._platform.watch(after, wait_s)
        except (WireError, InvalidMessageError) as error:
            self._count_failure(error)
            return self._backoff.next_delay()
        if changes.revision < self._store.revision:
            self._handle_stale(changes)
            return self._backoff.next_delay()
        self._backoff.reset()
        self._reread_after = None
        self._metrics.count('watch', 'rejected', amount=changes.rejected)
        self.on_changes(changes)
        self.on_contact(sent_at, changes.revision)
        interval_s = compute_watch_interval(self._store.view)
        if changes.revision > after:
            return 0
        pause_s = max(0, sent_at + interval_s - self._clock())
        return pause_s * self._random.uniform(*_PAUSE_JITTER)

    def _compute_wait_s(self) -> float:
        """Return the maximum wait in seconds of one call.

        The time of a contact is that at which the call was sent, so a call
        that waits longer than `isolation_ms` proves nothing. In a large
        fleet, whose interval is longer than the maximum wait, the loop pauses
        between calls instead.
        """
        view = self._store.view
        isolation_s = view.policy.isolation_ms / _MS_PER_S
        return min(
            compute_watch_interval(view),
            isolation_s * _WAIT_ISOLATION_FRACTION,
        )

    def _choose_after(self) -> int:
        """Return the revision after which the next call requests changes.

        A service that restarted at an older revision may reuse revision
        numbers that this VM has already seen. Once the service has caught
        up, the changes since its restart are read again; the store keeps the
        highest revision of each path.
        """
        if self._reread_after is None:
            return self._store.revision
        return min(self._reread_after, self._store.revision)

    async def _poll_vms(self) -> None:
        try:
            self.on_vms(await self._platform.list_vms())
        except (WireError, InvalidMessageError):
            self._metrics.count('vm_list', 'failed')

    def _count_failure(self, error: Exception) -> None:
        self._metrics.count('watch', 'failed')
        self._logger.warning(
            'watch_failed',
            limit_key='watch_failed',
            error=str(error),
        )

    def _handle_stale(self, changes: WatchChanges) -> None:
        self._metrics.count('watch', 'stale')
        self._reread_after = min(changes.revision, self._choose_after())
        self._logger.warning(
            'watch_stale',
            limit_key='watch_stale',
            revision=changes.revision,
            held=self._store.revision,
        )


def _ignore_contact(sent_at: float, revision: int) -> None:
    """Ignore a contact; default of `on_contact`."""


def _ignore_changes(changes: WatchChanges) -> None:
    """Ignore changes; default of `on_changes`."""


def _ignore_vms(state_by_vm: dict[str, str]) -> None:
    """Ignore a VM list; default of `on_vms`."""
