"""A copy of the store's items that VMs can compare and merge."""

import dataclasses
from collections.abc import Callable, Iterable

from jacinthcart.readings._source import Item

#: Called with the items that changed.
ItemListener = Callable[[list[Item]], None]


@dataclasses.dataclass(frozen=True)
class Changes:
    """Part of a table that a peer lacks."""

    #: Items with their revisions; removed ones have no content.
    items: tuple[Item, ...]
    #: Serial number of the table after these changes.
    serial: int


class ItemTable:
    """Newest known revision of each key, removed keys included.

    The newer revision of a key wins, so merging is idempotent and works in
    any order. `serial` counts this process's own changes; a peer that knows
    the table as of a serial needs only what changed after it.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.serial = 0
        self.listeners: list[ItemListener] = []
        self._item_by_key: dict[str, Item] = {}
        self._serial_by_key: dict[str, int] = {}

    def merge(self, items: Iterable[Item]) -> int:
        """Take newer items and return how many were newer."""
        changed = []
        for item in items:
            known = self._item_by_key.get(item.key)
            if known is None or item.revision > known.revision:
                self._put(item)
                changed.append(item)
        if changed:
            for listener in self.listeners:
                listener(changed)
        return len(changed)

    def replace_below(
        self,
        prefix: str,
        items: Iterable[Item],
        revision: int,
    ) -> int:
        """Take a complete reading below `prefix` made at `revision`.

        Keys that the reading lacks were removed, unless their last change
        is newer than the reading.
        """
        present = {item.key: item for item in items}
        removed = [
            Item(key, revision, None)
            for key, known in self._item_by_key.items()
            if key.startswith(prefix)
            and key not in present
            and known.content is not None
            and known.revision < revision
        ]
        return self.merge([*present.values(), *removed])

    def list_changes(self, after: int) -> Changes:
        """Return the items that changed after a serial number."""
        return Changes(
            tuple(
                self._item_by_key[key]
                for key, serial in self._serial_by_key.items()
                if serial > after
            ),
            self.serial,
        )

    def list_present(self, prefix: str) -> list[Item]:
        """Return the items below a prefix that are not removed."""
        return [
            item
            for key, item in self._item_by_key.items()
            if key.startswith(prefix) and item.content is not None
        ]

    def _put(self, item: Item) -> None:
        self.serial += 1
        self._item_by_key[item.key] = item
        self._serial_by_key[item.key] = self.serial
