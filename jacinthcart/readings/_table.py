"""The copy of the store's items that VMs exchange and merge."""

import dataclasses
from collections.abc import Callable, Iterable

from jacinthcart.readings._position import START, Position
from jacinthcart.readings._source import StoredItem
from jacinthcart.readings._versions import (
    BaseContentVersions,
    ContentVersion,
    NoContentVersions,
)

#: Called with the items that changed.
ItemListener = Callable[[list['Item']], None]


@dataclasses.dataclass(frozen=True)
class Item:
    """One key as of its last known change."""

    key: str
    #: Position of the store at the last change.
    position: Position
    #: Stored bytes; None for a removed key.
    content: bytes | None
    #: Era in which the store held this content. It is lower than that of the
    #: position if the store came back without it.
    written_in: int
    #: Whether the store came back without the key, and nobody has written it
    #: again yet.
    is_missing: bool = False


@dataclasses.dataclass(frozen=True)
class Changes:
    """Items that a peer lacks."""

    #: Changed items; removed ones have no content.
    items: tuple[Item, ...]
    #: Position up to which the sender has every change.
    complete_to: Position


class ItemTable:
    """The newest known item of each key, including removed keys.

    The higher position of a key wins, so merging is idempotent and works in
    any order. Each change of the store has a higher position, so a peer that
    is complete up to a position needs only the items after it.

    The store may come back from an older copy. Contents that were acknowledged
    before are kept until they are written again: where the copy has content of
    a lower version, and where it lacks the key.
    """

    def __init__(
        self,
        proof_prefix: str = '',
        versions: BaseContentVersions | None = None,
    ) -> None:
        """Start without items.

        Operators write the keys with `proof_prefix`, which a freshness proof
        must cover. Contents have no versions by default.
        """
        #: Position up to which this table has every change.
        self.complete_to = START
        self.listeners: list[ItemListener] = []
        self._proof_prefix = proof_prefix
        self._versions = versions or NoContentVersions()
        self._newest = START
        self._item_by_key: dict[str, Item] = {}

    @property
    def newest(self) -> Position:
        """The highest known position."""
        return max(self.complete_to, self._newest)

    @property
    def operator_position(self) -> Position:
        """The highest position of the keys that a proof must cover.

        Removed keys count, too.
        """
        return max(
            (
                item.position
                for key, item in self._item_by_key.items()
                if key.startswith(self._proof_prefix)
            ),
            default=START,
        )

    def get(self, key: str) -> Item | None:
        """Return the known item of a key, even if it was removed."""
        return self._item_by_key.get(key)

    def mark_complete_to(self, position: Position) -> None:
        """Record that this table has every change up to a position."""
        self.complete_to = max(self.complete_to, position)

    def merge(self, items: Iterable[Item]) -> int:
        """Store the items that are newer and return the number of changes."""
        changed = []
        for item in items:
            known = self._item_by_key.get(item.key)
            merged = (
                self._admit(item)
                if known is None
                else self._resolve(known, item)
            )
            if merged == known:
                continue
            self._put(merged)
            if known is None or _is_visible_change(known, merged):
                changed.append(merged)
        if changed:
            for listener in self.listeners:
                listener(changed)
        return len(changed)

    def replace_prefix(
        self,
        prefix: str,
        items: Iterable[Item],
        position: Position,
    ) -> int:
        """Apply a complete read of the keys with `prefix` at `position`.

        Keys missing from the read have been removed, unless their last known
        change is newer than the read. Keys of an earlier era are missing
        instead: the store may have lost them without a removal.
        """
        present = {item.key: item for item in items}
        absent = [
            _mark_absent(known, position)
            for key, known in self._item_by_key.items()
            if key.startswith(prefix)
            and key not in present
            and known.content is not None
            and known.position < position
        ]
        return self.merge([*present.values(), *absent])

    def list_changes(self, after: Position) -> Changes:
        """Return the items that changed after a position."""
        return Changes(
            tuple(
                item
                for item in self._item_by_key.values()
                if item.position > after
            ),
            self.complete_to,
        )

    def list_existing(self, prefix: str) -> list[Item]:
        """Return the items with a prefix that have not been removed.

        Missing ones are included.
        """
        return [
            item
            for key, item in self._item_by_key.items()
            if key.startswith(prefix) and item.content is not None
        ]

    def _put(self, item: Item) -> None:
        self._item_by_key[item.key] = item
        self._newest = max(self._newest, item.position)

    def _admit(self, item: Item) -> Item:
        # A complete read in a later era has shown that the key is absent.
        if item.content is None or item.position.era >= self.complete_to.era:
            return item
        return dataclasses.replace(
            item, position=self.complete_to, is_missing=True
        )

    def _resolve(self, known: Item, item: Item) -> Item:
        """Return what two items of a key amount to, in either order."""
        if item.position == known.position:
            return max(known, item, key=self._rank)
        earlier, later = (
            (known, item) if known.position < item.position else (item, known)
        )
        era = later.position.era
        if earlier.written_in == era and later.written_in == era:
            return later
        if earlier.content is None or later.content is None:
            return later
        if self._get_version(earlier) > self._get_version(later):
            return dataclasses.replace(
                earlier,
                position=later.position,
                is_missing=later.is_missing,
            )
        return later

    def _rank(
        self, item: Item
    ) -> tuple[bool, ContentVersion, bool, int, bytes]:
        return (
            item.content is None,
            self._get_version(item),
            not item.is_missing,
            item.written_in,
            item.content or b'',
        )

    def _get_version(self, item: Item) -> ContentVersion:
        if item.content is None:
            return ()
        return self._versions.get_version(item.key, item.content) or ()


def create_item(stored: StoredItem, era: int) -> Item:
    """Return an item that the store holds in an era."""
    return Item(
        stored.key,
        Position(era, stored.revision),
        stored.content,
        written_in=era,
    )


def _mark_absent(known: Item, position: Position) -> Item:
    if known.position.era < position.era:
        return dataclasses.replace(known, position=position, is_missing=True)
    if known.is_missing:
        return known
    return Item(known.key, position, None, written_in=position.era)


def _is_visible_change(known: Item, merged: Item) -> bool:
    return (known.content, known.is_missing) != (
        merged.content,
        merged.is_missing,
    )
