"""The state that control shares with entry and gather."""

from collections.abc import Mapping
from typing import Any

from jacinthcart.control._live import LiveList
from jacinthcart.control._notifier import Notifier
from jacinthcart.control._warm import WarmTable
from jacinthcart.settings import (
    SettingsStore,
    SettingsValue,
    SettingsView,
    encode_values,
)

#: Settings that all rights derive from.
RIGHTS_PATHS = ('fleet/roster', 'fleet/policy')


class ControlState:
    """Settings in force, live VMs and warm table with a version.

    The version rises with each change, so that a neighbour that names the
    version it holds receives only what changed since.
    """

    def __init__(self, incarnation: str, warm: WarmTable) -> None:
        """Start without settings."""
        self.incarnation = incarnation
        self.changed = Notifier()
        self._number = 0
        self.store = SettingsStore()
        self.warm = warm
        self.live = LiveList(self.mark_changed)
        self.is_leaving = False
        self._in_force: dict[str, SettingsValue] = {}
        self._changed_at_by_path: dict[str, int] = {}

    @property
    def view(self) -> SettingsView:
        """The settings in force."""
        return self.store.view

    @property
    def version(self) -> str:
        """The version that a neighbour names in its next poll."""
        return f'{self.incarnation}:{self._number}'

    @property
    def rights_revision(self) -> int:
        """Highest revision of what rights derive from, 0 for none."""
        in_force = self._in_force
        return max(
            in_force[path].revision if path in in_force else 0
            for path in RIGHTS_PATHS
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
        """Take settings; return whether the view changed."""
        if not self.store.apply(changes, revision, valid) and not valid:
            return False
        in_force = self.store.export_in_force()
        self._number += 1
        for path, setting in in_force.items():
            if self._in_force.get(path) != setting:
                self._changed_at_by_path[path] = self._number
        self._in_force = in_force
        self.live.take_roster(self.view.roster)
        self.changed.notify()
        return True

    def announce_leaving(self) -> None:
        """Announce a planned stop."""
        self.is_leaving = True
        self.mark_changed()

    def mark_changed(self) -> None:
        """Raise the version and wake waiting neighbours."""
        self._number += 1
        self.changed.notify()

    def export_after(self, version: str) -> dict[str, Any]:
        """Return the state message without lease, as a change of `version`."""
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
