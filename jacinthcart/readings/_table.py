"""The copy of the store's items that VMs exchange and merge."""

import dataclasses
from collections.abc import Callable, Iterable

from jacinthcart.readings._source import Item

#: Called with the items that changed.
ItemListener = Callable[[list[Item]], None]


@dataclasses.dataclass(frozen=True)
class Changes:
    """Items that a peer lacks."""

    #: Changed items; removed ones have no content.
    items: tuple[Item, ...]
    #: Revision up to which the sender has every change.
    complete_to: int


class ItemTable:
    """The newest known revision of each key, including removed keys.

    The higher revision of a key wins, so merging is idempotent and works in
    any order. Each change of the store has a higher revision, so a peer that
    is complete up to a revision needs only the items after it.
    """

    def __init__(self, proof_prefix: str = '') -> None:
        """Start without items.

        Operators write the keys with `proof_prefix`, which a freshness proof
        must cover.
        """
        #: Revision up to which this table has every change.
        self.complete_to = 0
        self.listeners: list[ItemListener] = []
        self._proof_prefix = proof_prefix
        self._newest_revision = 0
        self._item_by_key: dict[str, Item] = {}

    @property
    def revision(self) -> int:
        """The highest known revision.

        Another table with at least this revision has every item that the
        freshness proof of this table covers.
        """
        return max(self.complete_to, self._newest_revision)

    @property
    def operator_revision(self) -> int:
        """The highest revision of the keys that a proof must cover, or 0.

        Removed keys count, too.
        """
        return max(
            (
                item.revision
                for key, item in self._item_by_key.items()
                if key.startswith(self._proof_prefix)
            ),
            default=0,
        )

    def get(self, key: str) -> Item | None:
        """Return the known item of a key, even if it was removed."""
        return self._item_by_key.get(key)

    def mark_complete_to(self, revision: int) -> None:
        """Record that this table has every change up to a revision."""
        self.complete_to = max(self.complete_to, revision)

    def merge(self, items: Iterable[Item]) -> int:
        """Store the items that are newer and return their number."""
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
        """Apply a complete read of the keys with `prefix` at `revision`.

        Keys missing from the read have been removed, unless their last known
        change is newer than the read.
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
        """Return the items with a prefix that have not been removed."""
        return [
            item
            for key, item in self._item_by_key.items()
            if key.startswith(prefix) and item.content is not None
        ]

    def _put(self, item: Item) -> None:
        self._item_by_key[item.key] = item
        self._newest_revision = max(self._newest_revision, item.revision)
