"""Applies settings received from the service and from peers."""

from collections.abc import Callable, Mapping

from jacinthcart.control._state import ControlState
from jacinthcart.membership import SettingsFreshness
from jacinthcart.settings import SettingsValue, SettingsView
from jacinthcart.sync import PeerSettings, WatchChanges
from jacinthcart.telemetry import Logger, Metrics, set_log_level

#: Called with the settings in force after each change.
ViewListener = Callable[[SettingsView], None]


class SettingsApplier:
    """Applies changes and notifies the components that use settings."""

    def __init__(
        self,
        state: ControlState,
        freshness: SettingsFreshness,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Create an applier without listeners."""
        self.listeners: list[ViewListener] = []
        self._state = state
        self._freshness = freshness
        self._metrics = metrics
        self._logger = logger

    def apply_changes(self, changes: WatchChanges) -> None:
        """Apply changes received from the service."""
        self._apply(changes, {})

    def apply_peer_settings(self, settings: PeerSettings) -> None:
        """Apply changes received from a peer."""
        self._apply(settings.changes, settings.valid)

    def _apply(
        self,
        changes: WatchChanges,
        valid: Mapping[str, SettingsValue],
    ) -> None:
        store = self._state.store
        ignored_before = store.ignored_stale_changes
        changed = self._state.apply(
            changes.values_by_path,
            changes.revision,
            valid,
        )
        self._count_ignored(store.ignored_stale_changes - ignored_before)
        if changed:
            self._activate_settings()
        self._freshness.record_held_revision(store.revision)

    def _activate_settings(self) -> None:
        view = self._state.view
        set_log_level(view.policy.log_level)
        for listener in self.listeners:
            listener(view)
        self._logger.info(
            'settings_in_force',
            revision=view.revision,
            errors=[str(error) for error in self._state.store.errors],
        )

    def _count_ignored(self, ignored: int) -> None:
        if not ignored:
            return
        self._metrics.count('settings', 'stale_value', amount=ignored)
        self._logger.warning(
            'stale_values_ignored',
            limit_key='stale_values_ignored',
            count=ignored,
            revision=self._state.store.revision,
        )
