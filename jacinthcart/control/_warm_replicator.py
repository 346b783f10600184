"""Replicates changed warm entries to the owners of the searchers."""

from collections.abc import Mapping
from typing import Any

from jacinthcart.control._state import ControlState
from jacinthcart.control._warm import encode_warm_entries, read_warm_entries
from jacinthcart.feed import WarmEntry
from jacinthcart.network import BaseDatagrams
from jacinthcart.ownership import find_part_owners, qualify_searcher
from jacinthcart.settings import Endpoint, SettingsView

#: Keeps datagrams below 1,400 bytes; a searcher id consists of three names
#: of at most 64 characters each.
_ENTRIES_PER_DATAGRAM = 4


class WarmReplicator:
    """Merges warm entries and sends reported changes to other owners."""

    def __init__(
        self,
        vm_id: str,
        state: ControlState,
        datagrams: BaseDatagrams,
    ) -> None:
        """Create a replicator without settings."""
        self._vm_id = vm_id
        self._state = state
        self._datagrams = datagrams
        self._owners_by_searcher_id: dict[str, list[str]] = {}

    def apply_settings(self, view: SettingsView) -> None:
        """Update the searchers and their owners from the settings in force."""
        vm_ids = list(view.roster.vms_by_id) if view.roster else []
        owners_by_searcher_id: dict[str, list[str]] = {}
        for service_id, service in view.services_by_id.items():
            for name, part in service.parts_by_name.items():
                owners = find_part_owners(service_id, name, service, vm_ids)
                owners_by_searcher_id.update(
                    (qualify_searcher(service_id, searcher), owners)
                    for searcher in part.searchers_by_id
                )
        self._owners_by_searcher_id = owners_by_searcher_id
        self._state.warm.retain(frozenset(owners_by_searcher_id))

    async def report(self, message: Any) -> None:
        """Merge entries reported by gather and send changes to owners.

        Raise InvalidMessageError if the message is malformed.
        """
        entries = read_warm_entries(message)
        changed = self._merge(entries)
        for vm_id, for_owner in self._group_by_owner(changed).items():
            await self._send(vm_id, for_owner)

    def merge(self, entries: Mapping[str, WarmEntry]) -> None:
        """Merge entries received from a peer."""
        self._merge(entries)

    def handle_message(self, message: dict[str, Any]) -> None:
        """Merge a `warm` datagram; raise InvalidMessageError if invalid."""
        self.merge(read_warm_entries(message.get('entries')))

    def _merge(
        self,
        entries: Mapping[str, WarmEntry],
    ) -> dict[str, WarmEntry]:
        changed = self._state.warm.merge(entries)
        if changed:
            self._state.mark_changed()
        return changed

    def _group_by_owner(
        self,
        entries: Mapping[str, WarmEntry],
    ) -> dict[str, dict[str, WarmEntry]]:
        grouped: dict[str, dict[str, WarmEntry]] = {}
        for searcher_id, entry in entries.items():
            for vm_id in self._owners_by_searcher_id.get(searcher_id, []):
                grouped.setdefault(vm_id, {})[searcher_id] = entry
        grouped.pop(self._vm_id, None)
        return grouped

    async def _send(
        self,
        vm_id: str,
        entries: Mapping[str, WarmEntry],
    ) -> None:
        roster = self._state.view.roster
        vm = roster.vms_by_id.get(vm_id) if roster else None
        if vm is None:
            return
        peer = Endpoint(address=vm.address, port=vm.control_port)
        encoded = list(encode_warm_entries(entries).items())
        for first in range(0, len(encoded), _ENTRIES_PER_DATAGRAM):
            chunk = dict(encoded[first : first + _ENTRIES_PER_DATAGRAM])
            message = {'kind': 'warm', 'vm': self._vm_id, 'entries': chunk}
            await self._datagrams.send(message, peer)
