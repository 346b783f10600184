"""State of the emulated configuration service and VM list."""

import collections
import dataclasses
import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from jacinthcart_emulator._models import ConfigFault


@dataclasses.dataclass(frozen=True)
class ConfigChange:
    """One accepted change."""

    #: Its revision.
    revision: int
    #: Path that it sets.
    path: str
    #: New JSON value; None deletes.
    json_value: Any


class ConfigState:
    """History of changes with the faults that are switched on."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with no settings at revision 0."""
        self.is_down = False
        self.counts: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._history: list[ConfigChange] = []
        self._revision = 0
        self._stale_at: int | None = None
        self._changed = anyio.Event()
        self._vm_list_lag_s = 0.0
        self._vm_lists: list[tuple[float, dict[str, str]]] = [
            (clock(), {}),
        ]

    @property
    def revision(self) -> int:
        """Revision that readers see."""
        if self._stale_at is not None:
            return min(self._stale_at, self._revision)
        return self._revision

    def put(self, values_by_path: Mapping[str, Any]) -> int:
        """Accept one change of several paths; return its revision."""
        self._revision += 1
        self._history.extend(
            ConfigChange(self._revision, path, json_value)
            for path, json_value in values_by_path.items()
        )
        self._wake_watchers()
        return self._revision

    def read_after(self, revision: int) -> dict[str, Any]:
        """Return the newest values changed after `revision`."""
        visible = {
            change.path: {
                'revision': change.revision,
                'value': change.json_value,
            }
            for change in self._history
            if change.revision <= self.revision
        }
        return {
            'revision': self.revision,
            'values': {
                path: entry
                for path, entry in visible.items()
                if entry['revision'] > revision
            },
        }

    async def watch(self, after: int, wait_s: float) -> dict[str, Any]:
        """Return changes after `after`, waiting for one if there is none."""
        with anyio.move_on_after(wait_s):
            while self.revision <= after:
                await self._changed.wait()
        return self.read_after(after)

    def read_vms(self) -> dict[str, str]:
        """Return the VM list as it was `vm_list_lag_s` seconds ago."""
        moment = self._clock() - self._vm_list_lag_s
        seen = [vms for at, vms in self._vm_lists if at <= moment]
        return seen[-1] if seen else self._vm_lists[0][1]

    def apply_fault(self, fault: ConfigFault) -> None:
        """Switch faults on or off."""
        if fault.down is not None:
            self.is_down = fault.down
        if fault.stale_at is not None:
            self._stale_at = fault.stale_at if fault.stale_at >= 0 else None
        if fault.restart_at is not None:
            self._forget_after(fault.restart_at)
        if fault.vm_list_lag_s is not None:
            self._vm_list_lag_s = fault.vm_list_lag_s
        if fault.vms is not None:
            self._vm_lists.append((self._clock(), fault.vms))
        self._wake_watchers()

    def _forget_after(self, revision: int) -> None:
        self._history = [
            change for change in self._history if change.revision <= revision
        ]
        self._revision = min(self._revision, revision)

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
