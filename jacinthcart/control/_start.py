"""When a starting VM may serve for the first time."""

from jacinthcart.control._state import RIGHTS_PATHS, ControlState
from jacinthcart.membership import HeartbeatPeers, SettingsFreshness


class StartGate:
    """Opens once and stays open.

    A VM that starts with a stale service, or without one, first hears what
    its peers have: it must not serve with a lower revision than any peer it
    can reach.
    """

    def __init__(
        self,
        state: ControlState,
        currency: SettingsFreshness,
        heartbeats: HeartbeatPeers,
    ) -> None:
        """Start closed."""
        self._state = state
        self._currency = currency
        self._heartbeats = heartbeats
        self._is_open = False
        self._is_first_read_done = False

    def end_first_read(self) -> None:
        """Take that the service and every seed answered or failed."""
        self._is_first_read_done = True

    @property
    def is_open(self) -> bool:
        """Return whether the VM may serve while it is current."""
        self._is_open = self._is_open or not self.blocker
        return self._is_open

    @property
    def blocker(self) -> str:
        """Return what a closed gate waits for, empty for nothing."""
        if self._is_open:
            return ''
        if not self._is_first_read_done:
            return 'first read of the service and the seed peers'
        for path in RIGHTS_PATHS:
            if not self._state.has_value(path):
                return f'a valid {path}'
        if not self._currency.is_current:
            return 'contact with the service or a majority of the roster'
        if not self._heartbeats.is_first_round_done:
            return 'first heartbeats of the peers'
        if self._find_highest_revision() > self._state.store.revision:
            return 'the settings of a peer with a higher revision'
        return ''

    def _find_highest_revision(self) -> int:
        return max(
            (
                member.state.revision
                for member in self._heartbeats.members_by_vm.values()
            ),
            default=0,
        )
