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
    """An accepted change of one path."""

    #: Revision that contains the change.
    revision: int
    #: Path of the changed value.
    path: str
    #: New JSON value; None deletes the path.
    json_value: Any


class ConfigState:
    """History of accepted changes and the active faults."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with no settings at revision 0."""
        self.is_down = False
        self.calls_by_endpoint: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._history: list[ConfigChange] = []
        self._revision = 0
        self._stale_revision: int | None = None
        self._changed = anyio.Event()
        self._vm_list_lag_s = 0.0
        self._vm_lists: list[tuple[float, dict[str, str]]] = [
            (clock(), {}),
        ]

    @property
    def revision(self) -> int:
        """Newest revision that is visible to readers."""
        if self._stale_revision is not None:
            return min(self._stale_revision, self._revision)
        return self._revision

    def put(self, values_by_path: Mapping[str, Any]) -> int:
        """Set the values of several paths in one revision and return it."""
        self._revision += 1
        self._history.extend(
            ConfigChange(self._revision, path, json_value)
            for path, json_value in values_by_path.items()
        )
        self._wake_watchers()
        return self._revision

    def read_after(self, revision: int) -> dict[str, Any]:
        """Return the visible values of paths changed after `revision`.

        The result is `{revision, values}` with `{revision, value}` by path in
        `values`; a deleted path has the value None.
        """
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
        """Return the changes after `after`, waiting up to `wait_s` for one."""
        with anyio.move_on_after(wait_s):
            while self.revision <= after:
                await self._changed.wait()
        return self.read_after(after)

    def read_vms(self) -> dict[str, str]:
        """Return the state by VM id as it was `vm_list_lag_s` seconds ago."""
        visible_at = self._clock() - self._vm_list_lag_s
        visible = [vms for at, vms in self._vm_lists if at <= visible_at]
        return visible[-1] if visible else self._vm_lists[0][1]

    def apply_fault(self, fault: ConfigFault) -> None:
        """Apply the fields of `fault` that are not None."""
        if fault.down is not None:
            self.is_down = fault.down
        if fault.stale_at is not None:
            self._stale_revision = (
                fault.stale_at if fault.stale_at >= 0 else None
            )
        if fault.restart_at is not None:
            self._discard_after(fault.restart_at)
        if fault.vm_list_lag_s is not None:
            self._vm_list_lag_s = fault.vm_list_lag_s
        if fault.vms is not None:
            self._vm_lists.append((self._clock(), fault.vms))
        self._wake_watchers()

    def _discard_after(self, revision: int) -> None:
        self._history = [
            change for change in self._history if change.revision <= revision
        ]
        self._revision = min(self._revision, revision)

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
