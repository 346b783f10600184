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
    #: Revision up to which the table holds every change.
    complete_to: int


class ItemTable:
    """Newest known revision of each key, removed keys included.

    The newer revision of a key wins, so merging is idempotent and works in
    any order. Revisions grow with each change of the store, so a peer that
    is complete up to a revision needs only the items after it.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.complete_to = 0
        self.listeners: list[ItemListener] = []
        self._newest = 0
        self._item_by_key: dict[str, Item] = {}

    @property
    def revision(self) -> int:
        """Return the newest revision that is known of anything.

        A table with at least this revision holds every item that proves
        the configuration of this one.
        """
        return max(self.complete_to, self._newest)

    def mark_complete_to(self, revision: int) -> None:
        """Take the revision up to which every change is held."""
        self.complete_to = max(self.complete_to, revision)

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

    def replace_prefix(
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
        """Return the items that changed after a revision."""
        return Changes(
            tuple(
                item
                for item in self._item_by_key.values()
                if item.revision > after
            ),
            self.complete_to,
        )

    def list_existing(self, prefix: str) -> list[Item]:
        """Return the items below a prefix that are not removed."""
        return [
            item
            for key, item in self._item_by_key.items()
            if key.startswith(prefix) and item.content is not None
        ]

    def _put(self, item: Item) -> None:
        self._item_by_key[item.key] = item
        self._newest = max(self._newest, item.revision)
