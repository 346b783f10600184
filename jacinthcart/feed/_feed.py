"""Long-polls control for the state that entry and gather depend on."""

import dataclasses
import math
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.program import CLOCK_RATE_MARGIN, Clock, read_boot_clock
from jacinthcart.settings import (
    ProcessSettings,
    SettingsStore,
    SettingsView,
    decode_values,
)
from jacinthcart.wire import ConnectionPool, decode_json

_WAIT_FRACTION_OF_LEASE = 0.25
_RETRY_PAUSE_S = 0.1
_CALL_TIMEOUT_S = 2
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class WarmEntry:
    """The warm-up state of one searcher, merged from all VMs."""

    #: How often the searcher became cold or had to be assumed cold; of two
    #: entries, the one with the higher number wins.
    incident: int
    #: Whether its warmer has announced that it can take full load.
    warm: bool
    #: Id of the searcher's process instance to which the entry applies.
    generation: str


def decode_warm_entries(
    message: Mapping[str, Mapping[str, Any]],
) -> dict[str, WarmEntry]:
    """Decode the JSON form of warm entries by searcher id."""
    return {
        searcher_id: WarmEntry(
            int(entry['incident']),
            bool(entry['warm']),
            str(entry['generation']),
        )
        for searcher_id, entry in message.items()
    }


def _read_durations_s(message: Mapping[str, Any]) -> tuple[float, float]:
    """Return the lease and the age of the roster in seconds."""
    age_ms = float(message.get('roster_age_ms', 0))
    return float(message['lease_ms']) / _MS_PER_S, age_ms / _MS_PER_S


class StateFeed:
    """Keeps the latest state from the VM's control process.

    The owning program runs `run` as a task. Control renews the serving lease
    with its answers; without them, the lease expires and `is_serving`
    returns false.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        program: str,
        clock: Clock = read_boot_clock,
    ) -> None:
        """Create the feed of `program`, which is `entry` or `gather`."""
        self.process = settings
        self.clock = clock
        self.store = SettingsStore()
        #: State by VM id: `live` or `leaving`.
        self.live_vms: dict[str, str] = {}
        self.warm_by_searcher_id: dict[str, WarmEntry] = {}
        #: Whether control has announced a graceful shutdown of this VM.
        self.is_leaving = False
        #: Earliest clock time in seconds at which a roster is known to have
        #: been in force; infinity before the first state.
        self.roster_since = math.inf
        #: Whether this process accepts requests; reported to control.
        self.is_ready = True
        #: Called after each state that has been applied.
        self.listeners: list[Callable[[], None]] = []
        self._program = program
        self._version = ''
        self._lease_expires_at = 0.0
        self._pool = ConnectionPool(
            settings.address,
            settings.control_port,
            limit=1,
        )

    @property
    def view(self) -> SettingsView:
        """The settings in force."""
        return self.store.view

    def is_serving(self) -> bool:
        """Return whether the serving lease has not expired."""
        return self.clock() < self._lease_expires_at

    async def run(self) -> None:
        """Poll control until cancelled."""
        while True:
            try:
                await self._poll()
            except (WireError, TimeoutError, InvalidMessageError):
                await anyio.sleep(_RETRY_PAUSE_S)

    async def close(self) -> None:
        """Close the connection to control."""
        await self._pool.close()

    async def _poll(self) -> None:
        lease_ms = self.view.policy.serving_lease_ms
        wait_ms = int(lease_ms * _WAIT_FRACTION_OF_LEASE)
        sent_at = self.clock()
        response = await self._pool.call(
            'GET',
            f'/v1/state?program={self._program}&after={self._version}'
            f'&wait_ms={wait_ms}&ready={int(self.is_ready)}',
            timeout_s=_CALL_TIMEOUT_S,
        )
        if not response.is_success:
            await anyio.sleep(_RETRY_PAUSE_S)
            return
        self._apply_state(decode_json(response.body), sent_at)

    def _apply_state(self, message: dict[str, Any], sent_at: float) -> None:
        try:
            self.store.apply(
                decode_values(message['values']),
                int(message['revision']),
            )
            self.warm_by_searcher_id = decode_warm_entries(message['warm'])
            self.live_vms = dict(message['live_vms'])
            lease_s, age_s = _read_durations_s(message)
        except (KeyError, TypeError, ValueError) as error:
            raise InvalidMessageError(f'state: {error!r}') from error
        self._version = str(message['version'])
        self.is_leaving = bool(message['leaving'])
        roster_since = self.clock() - age_s * CLOCK_RATE_MARGIN
        self.roster_since = min(self.roster_since, roster_since)
        self._lease_expires_at = sent_at + lease_s * CLOCK_RATE_MARGIN
        for listener in self.listeners:
            listener()
