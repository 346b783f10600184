"""The live VMs that entry and gather use as a hint."""

from collections.abc import Callable

from jacinthcart.membership import Member
from jacinthcart.settings import Roster

LIVE = 'live'
LEAVING = 'leaving'


class LiveList:
    """The platform's lagging list, corrected by heartbeats.

    Until the platform's list was read once, every VM of the roster counts
    as live. A VM that tells that it is leaving or not ready counts as
    leaving, so that addresses answers leave it out. No right derives from
    this list.
    """

    def __init__(self, notify: Callable[[], None]) -> None:
        """Start empty; `notify` is called after each change."""
        self.state_by_vm: dict[str, str] = {}
        self._notify = notify
        self._listed: dict[str, str] | None = None
        self._roster_ids: frozenset[str] = frozenset()
        self._leaving: set[str] = set()

    def take_listed(self, state_by_vm: dict[str, str]) -> None:
        """Take the platform's list."""
        self._listed = state_by_vm
        self._refresh()

    def take_roster(self, roster: Roster | None) -> None:
        """Take the roster in force."""
        self._roster_ids = frozenset(roster.vms_by_id if roster else ())
        self._leaving &= self._roster_ids
        self._refresh()

    def take_member(self, member: Member) -> None:
        """Take what a VM told about itself."""
        told = member.state
        is_leaving = told.leaving or not told.ready
        if is_leaving == (told.vm in self._leaving):
            return
        self._leaving ^= {told.vm}
        self._refresh()

    def _refresh(self) -> None:
        listed = self._listed
        if listed is None:
            listed = dict.fromkeys(self._roster_ids, LIVE)
        corrected = {
            vm_id: LEAVING if vm_id in self._leaving else state
            for vm_id, state in listed.items()
        }
        if corrected != self.state_by_vm:
            self.state_by_vm = corrected
            self._notify()
