"""List of live VMs that entry and gather use as a hint."""

from collections.abc import Callable

from jacinthcart.membership import Member
from jacinthcart.settings import Roster

LIVE = 'live'
LEAVING = 'leaving'


class LiveVmList:
    """The platform's VM list, corrected by heartbeats.

    The platform's list lags behind. Until it has been read once, all VMs of
    the roster are listed as live. A VM that reports in its heartbeats that
    it is leaving or not ready is listed as leaving, so that it is omitted
    from address responses. Ownership is never derived from this list.
    """

    def __init__(self, notify: Callable[[], None]) -> None:
        """Create an empty list; `notify` is called after each change."""
        self.state_by_vm: dict[str, str] = {}
        self._notify = notify
        self._platform_list: dict[str, str] | None = None
        self._roster_ids: frozenset[str] = frozenset()
        self._leaving: set[str] = set()

    def update_platform_list(self, state_by_vm: dict[str, str]) -> None:
        """Replace the list received from the platform."""
        self._platform_list = state_by_vm
        self._refresh()

    def update_roster(self, roster: Roster | None) -> None:
        """Apply the roster in force."""
        self._roster_ids = frozenset(roster.vms_by_id if roster else ())
        self._leaving &= self._roster_ids
        self._refresh()

    def update_member(self, member: Member) -> None:
        """Apply the newest state that a VM reported about itself."""
        reported = member.state
        is_leaving = reported.leaving or not reported.ready
        if is_leaving == (reported.vm in self._leaving):
            return
        self._leaving ^= {reported.vm}
        self._refresh()

    def _refresh(self) -> None:
        listed = self._platform_list
        if listed is None:
            listed = dict.fromkeys(self._roster_ids, LIVE)
        corrected = {
            vm_id: LEAVING if vm_id in self._leaving else state
            for vm_id, state in listed.items()
        }
        if corrected != self.state_by_vm:
            self.state_by_vm = corrected
            self._notify()
