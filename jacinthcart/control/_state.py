"""State that control shares with entry and gather."""

from collections.abc import Mapping
from typing import Any

from jacinthcart.control._live import LiveVmList
from jacinthcart.control._notifier import Notifier
from jacinthcart.control._warm import WarmTable
from jacinthcart.settings import (
    SettingsStore,
    SettingsValue,
    SettingsView,
    encode_values,
)

#: Settings from which all ownership is derived.
OWNERSHIP_PATHS = ('fleet/roster', 'fleet/policy')


class ControlState:
    """Versioned settings in force, live VMs and warm table.

    The version increases with each change, so that a local process that
    sends the version it holds receives only later changes.
    """

    def __init__(self, incarnation: str, warm: WarmTable) -> None:
        """Create a state without settings."""
        self.incarnation = incarnation
        self.changed = Notifier()
        self._version_number = 0
        self.store = SettingsStore()
        self.warm = warm
        self.live = LiveVmList(self.mark_changed)
        self.is_leaving = False
        self._in_force: dict[str, SettingsValue] = {}
        self._changed_at_by_path: dict[str, int] = {}

    @property
    def view(self) -> SettingsView:
        """The settings in force."""
        return self.store.view

    @property
    def version(self) -> str:
        """The version that a local process sends in its next poll."""
        return f'{self.incarnation}:{self._version_number}'

    @property
    def ownership_revision(self) -> int:
        """Highest revision of the ownership settings, 0 without any."""
        in_force = self._in_force
        return max(
            in_force[path].revision if path in in_force else 0
            for path in OWNERSHIP_PATHS
        )

    def has_value(self, path: str) -> bool:
        """Return whether a valid value of `path` is in force."""
        setting = self._in_force.get(path)
        return setting is not None and setting.json_value is not None

    def apply(
        self,
        changes: Mapping[str, SettingsValue],
        revision: int,
        valid: Mapping[str, SettingsValue] | None = None,
    ) -> bool:
        """Apply settings; return whether the view changed."""
        if not self.store.apply(changes, revision, valid) and not valid:
            return False
        in_force = self.store.export_in_force()
        self._version_number += 1
        for path, setting in in_force.items():
            if self._in_force.get(path) != setting:
                self._changed_at_by_path[path] = self._version_number
        self._in_force = in_force
        self.live.update_roster(self.view.roster)
        self.changed.notify()
        return True

    def announce_leaving(self) -> None:
        """Announce a graceful shutdown to the local processes."""
        self.is_leaving = True
        self.mark_changed()

    def mark_changed(self) -> None:
        """Increase the version and answer open polls of local processes."""
        self._version_number += 1
        self.changed.notify()

    def export_after(self, version: str) -> dict[str, Any]:
        """Return the state message without lease and roster age.

        It contains the values changed after `version`, or all values if the
        version is from a previous control process.
        """
        number = self._read_number(version)
        values_by_path = {
            path: setting
            for path, setting in self._in_force.items()
            if self._changed_at_by_path[path] > number
        }
        return {
            'version': self.version,
            'revision': self.store.revision,
            'values': encode_values(values_by_path),
            'live_vms': self.live.state_by_vm,
            'warm': self.warm.export(),
            'incarnation': self.incarnation,
            'leaving': self.is_leaving,
        }

    def _read_number(self, version: str) -> int:
        incarnation, _, number = version.rpartition(':')
        if incarnation != self.incarnation or not number.isdecimal():
            return -1
        return int(number)
