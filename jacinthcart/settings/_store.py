"""Settings that a process has received, and the view of the valid ones."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from jacinthcart.errors import SettingsError
from jacinthcart.network import SettingsModel
from jacinthcart.settings._tree import get_unit, parse_unit
from jacinthcart.settings._view import SettingsView, build_view_from_models


@dataclasses.dataclass(frozen=True)
class SettingsValue:
    """JSON value of one path with the revision of its last change."""

    #: Revision of the change that set this value.
    revision: int
    #: Decoded JSON value; None marks a deleted path.
    json_value: Any


class SettingsStore:
    """Stores the newest value of each path and the last valid view.

    A lower revision never replaces a higher one. A unit that fails
    validation keeps the values of its last valid state; changes of other
    units take effect.
    """

    def __init__(self) -> None:
        """Create an empty store at revision 0."""
        self.revision = 0
        self.ignored_stale_changes = 0
        self._latest_by_path: dict[str, SettingsValue] = {}
        self._valid_by_path: dict[str, SettingsValue] = {}
        self._errors_by_unit: dict[str, tuple[SettingsError, ...]] = {}
        self._view = build_view_from_models({}, 0)
        # Parsed models of the newest and of the valid values, so that a
        # change of one path does not parse all other values again.
        self._latest_models: dict[str, SettingsModel] = {}
        self._valid_models: dict[str, SettingsModel] = {}

    @property
    def view(self) -> SettingsView:
        """View of the settings in force."""
        return self._view

    @property
    def errors(self) -> list[SettingsError]:
        """Validation errors of units whose newest values are not in force."""
        return [
            error
            for errors in self._errors_by_unit.values()
            for error in errors
        ]

    def apply(
        self,
        changes: Mapping[str, SettingsValue],
        revision: int,
        valid: Mapping[str, SettingsValue] | None = None,
    ) -> bool:
        """Apply changes that are complete up to `revision`.

        `valid` contains a peer's last valid values of units whose newest
        values are invalid; they are adopted for units without a valid value
        here. Return whether `changes` or `revision` were newer; adopting
        values of `valid` alone does not count as a change.
        """
        self._adopt_valid(valid or {})
        newer = self._select_newer(changes)
        self._latest_by_path.update(newer)
        for changed_path in newer:
            self._latest_models.pop(changed_path, None)
        for unit in sorted({get_unit(path) for path in newer}):
            self._validate_unit(unit)
        self.revision = max(self.revision, revision)
        changed = bool(newer) or self._view.revision != self.revision
        if changed or valid:
            self._view = build_view_from_models(
                self._valid_models, self.revision
            )
        return changed

    def export_after(self, revision: int) -> dict[str, SettingsValue]:
        """Return the newest values with a revision above `revision`."""
        return {
            path: setting
            for path, setting in self._latest_by_path.items()
            if setting.revision > revision
        }

    def export_valid(self) -> dict[str, SettingsValue]:
        """Return the values in force that differ from the newest values."""
        return {
            path: setting
            for path, setting in self._valid_by_path.items()
            if self._latest_by_path.get(path) != setting
        }

    def export_in_force(self) -> dict[str, SettingsValue]:
        """Return the values of the last valid state of all units."""
        return dict(self._valid_by_path)

    def _select_newer(
        self,
        changes: Mapping[str, SettingsValue],
    ) -> dict[str, SettingsValue]:
        newer = {}
        for path, change in changes.items():
            current = self._latest_by_path.get(path)
            if current is None or change.revision > current.revision:
                newer[path] = change
            elif change.revision < current.revision:
                self.ignored_stale_changes += 1
        return newer

    def _adopt_valid(self, valid: Mapping[str, SettingsValue]) -> None:
        units = {get_unit(path) for path in valid}
        for unit in units:
            if _select_unit(self._valid_by_path, unit):
                continue
            adopted = _select_unit(valid, unit)
            models, errors = parse_unit(
                {path: value.json_value for path, value in adopted.items()},
            )
            if not errors:
                self._valid_by_path.update(adopted)
                self._valid_models.update(models)

    def _validate_unit(self, unit: str) -> None:
        latest = _select_unit(self._latest_by_path, unit)
        models, errors = parse_unit(
            {path: setting.json_value for path, setting in latest.items()},
            self._latest_models,
        )
        self._latest_models.update(models)
        if errors:
            self._errors_by_unit[unit] = tuple(errors)
            return
        self._errors_by_unit.pop(unit, None)
        for path in _select_unit(self._valid_by_path, unit):
            self._valid_by_path.pop(path)
            self._valid_models.pop(path, None)
        self._valid_by_path.update(latest)
        self._valid_models.update(models)


def _select_unit(
    values_by_path: Mapping[str, SettingsValue],
    unit: str,
) -> dict[str, SettingsValue]:
    return {
        path: setting
        for path, setting in values_by_path.items()
        if get_unit(path) == unit
    }


def encode_values(
    values_by_path: Mapping[str, SettingsValue],
) -> dict[str, dict[str, Any]]:
    """Encode values as a JSON object `{path: {revision, value}}`."""
    return {
        path: {'revision': setting.revision, 'value': setting.json_value}
        for path, setting in values_by_path.items()
    }


def decode_values(
    message: Mapping[str, Mapping[str, Any]],
) -> dict[str, SettingsValue]:
    """Decode a JSON object `{path: {revision, value}}`.

    Raise KeyError or TypeError when the message has another structure.
    """
    return {
        path: SettingsValue(int(entry['revision']), entry['value'])
        for path, entry in message.items()
    }
