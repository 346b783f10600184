"""Items of the table, and what two items of a key amount to."""

import dataclasses

from jacinthcart.readings._position import Position
from jacinthcart.readings._source import StoredItem
from jacinthcart.readings._versions import BaseContentVersions


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


class ItemResolver:
    """Decides between two items of a key, whatever the order they came in."""

    def __init__(self, versions: BaseContentVersions) -> None:
        """Initialise with the versions of contents."""
        self._versions = versions

    def resolve(self, known: Item, item: Item) -> Item:
        """Return the later item.

        Over a return of the store, an older version does not replace a newer
        one, which then gets the later position.
        """
        if item.position == known.position:
            return self._resolve_tie(known, item)
        earlier, later = (
            (known, item) if known.position < item.position else (item, known)
        )
        era = later.position.era
        if earlier.written_in == era and later.written_in == era:
            return later
        if self._is_older(later, earlier):
            return dataclasses.replace(earlier, position=later.position)
        return later

    def _resolve_tie(self, known: Item, item: Item) -> Item:
        if known == item:
            return known
        for older, newer in ((known, item), (item, known)):
            if newer.content is None or self._is_older(older, newer):
                return newer
        return max(known, item, key=_rank)

    def _is_older(self, item: Item, other: Item) -> bool:
        if item.content is None or other.content is None:
            return False
        return self._versions.is_older(item.key, item.content, other.content)


def _rank(item: Item) -> tuple[int, bytes]:
    return item.written_in, item.content or b''


def create_item(stored: StoredItem, era: int) -> Item:
    """Return an item that the store holds in an era."""
    return Item(
        stored.key,
        Position(era, stored.revision),
        stored.content,
        written_in=era,
    )
