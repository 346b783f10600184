"""Selection of the VMs that callers connect to."""

import random
from typing import Any

from jacinthcart.entry._drain import Drain
from jacinthcart.feed import StateFeed
from jacinthcart.ownership import find_token_owners
from jacinthcart.settings import RosterEntry

_LIVE = 'live'


class AddressSelector:
    """Orders the VMs of the roster for one workspace's callers."""

    def __init__(
        self,
        feed: StateFeed,
        drain: Drain,
        random_source: random.Random,
    ) -> None:
        """Store the state that the selection depends on."""
        self._feed = feed
        self._drain = drain
        self._random = random_source

    def list_addresses(self, workspace_id: str | None) -> list[dict[str, Any]]:
        """Return usable VMs, preferred first.

        The workspace's token owners come first, and within each group the
        VMs of this data centre. Ties are in random order, to spread callers
        over the VMs. If no VM is usable, all VMs of the roster are returned,
        as stale liveness data must not leave callers without an address.
        """
        entries = self._list_entries()
        usable = {
            vm_id: entry
            for vm_id, entry in entries.items()
            if self._is_usable(vm_id, entry)
        }
        return self._order(usable or entries, workspace_id)

    def list_other_addresses(
        self, workspace_id: str | None
    ) -> list[dict[str, Any]]:
        """Return usable VMs other than this one, preferred first."""
        own_id = self._feed.process.vm_id
        others = {
            vm_id: entry
            for vm_id, entry in self._list_entries().items()
            if vm_id != own_id and self._is_usable(vm_id, entry)
        }
        return self._order(others, workspace_id)

    def _list_entries(self) -> dict[str, RosterEntry]:
        roster = self._feed.view.roster
        if roster is not None:
            return dict(roster.vms_by_id)
        process = self._feed.process
        own_entry = RosterEntry(
            address=process.address,
            data_centre=process.data_centre,
            entry_port=process.entry_port,
            gather_port=process.gather_port,
            control_port=process.control_port,
            admin_port=process.admin_port,
        )
        return {process.vm_id: own_entry}

    def _is_usable(self, vm_id: str, entry: RosterEntry) -> bool:
        if not self._feed.view.is_data_centre_in(entry.data_centre):
            return False
        if vm_id == self._feed.process.vm_id:
            return self._feed.is_serving() and not self._drain.is_leaving
        live_vms = self._feed.live_vms
        return not live_vms or live_vms.get(vm_id) == _LIVE

    def _order(
        self,
        entries: dict[str, RosterEntry],
        workspace_id: str | None,
    ) -> list[dict[str, Any]]:
        own_data_centre = self._feed.process.data_centre
        owners = self._find_token_owners(workspace_id)
        shuffled = sorted(entries)
        self._random.shuffle(shuffled)
        shuffled.sort(
            key=lambda vm_id: (
                vm_id not in owners,
                entries[vm_id].data_centre != own_data_centre,
            ),
        )
        return [_encode_entry(vm_id, entries[vm_id]) for vm_id in shuffled]

    def _find_token_owners(self, workspace_id: str | None) -> frozenset[str]:
        roster = self._feed.view.roster
        if workspace_id is None or roster is None:
            return frozenset()
        share_spread = self._feed.view.policy.share_spread
        return frozenset(
            find_token_owners(workspace_id, roster.vms_by_id, share_spread),
        )


def _encode_entry(vm_id: str, entry: RosterEntry) -> dict[str, Any]:
    return {
        'vm': vm_id,
        'address': entry.address,
        'port': entry.entry_port,
        'data_centre': entry.data_centre,
    }
