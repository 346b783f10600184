"""Conditions under which a starting VM may begin to serve."""

from jacinthcart.control._state import OWNERSHIP_PATHS, ControlState
from jacinthcart.membership import HeartbeatPeers, SettingsFreshness


class StartGate:
    """Start condition; once met, it stays met.

    The configuration service may be stale or unreachable. A starting VM
    therefore first obtains the revisions of its peers, because it must not
    serve with a lower revision than any reachable peer.
    """

    def __init__(
        self,
        state: ControlState,
        freshness: SettingsFreshness,
        heartbeats: HeartbeatPeers,
    ) -> None:
        """Create a closed gate."""
        self._state = state
        self._freshness = freshness
        self._heartbeats = heartbeats
        self._is_open = False
        self._is_first_read_done = False

    def complete_first_read(self) -> None:
        """Record that the service and all seed peers answered or failed."""
        self._is_first_read_done = True

    @property
    def is_open(self) -> bool:
        """Return whether the start condition has been met."""
        self._is_open = self._is_open or not self.blocker
        return self._is_open

    @property
    def blocker(self) -> str:
        """Return the first condition that is not met, or an empty string."""
        if self._is_open:
            return ''
        if not self._is_first_read_done:
            return 'first read of the service and the seed peers'
        for path in OWNERSHIP_PATHS:
            if not self._state.has_value(path):
                return f'a valid {path}'
        if not self._freshness.is_current:
            return 'contact with the service or a majority of the roster'
        if not self._heartbeats.are_initial_probes_done:
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
