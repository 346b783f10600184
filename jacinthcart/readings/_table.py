"""The copy of the store's items that VMs exchange and merge."""

import dataclasses
import hashlib
import operator
from collections.abc import Callable, Iterable

from jacinthcart.readings._item import (
    Item,
    ItemResolver,
)
from jacinthcart.readings._position import START, Position
from jacinthcart.readings._versions import (
    BaseContentVersions,
    NoContentVersions,
)

_DIGEST_BYTES = 6

#: Called with the items that changed.
ItemListener = Callable[[list[Item]], None]


@dataclasses.dataclass(frozen=True)
class Changes:
    """Items that a peer lacks."""

    #: Changed items; removed ones have no content.
    items: tuple[Item, ...]
    #: Position up to which the sender has every change.
    complete_to: Position
    #: Whether the items are all that the sender knows.
    is_full: bool = False


class ItemTable:
    """The newest known item of each key, including removed keys.

    The higher position of a key wins, so merging is idempotent and works in
    any order. Each change of the store has a higher position, so a peer that
    is complete up to a position needs only the items after it.

    The store may come back from an older copy. Contents that were acknowledged
    before are kept until they are written again: where the copy has content of
    a lower version, and where it lacks the key, which then is missing.
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
        #: Position from which this table has every removal. Before, it may
        #: never have known a key that was removed.
        self._history_from = START
        self.listeners: list[ItemListener] = []
        #: Prefix of the keys that a proof must cover.
        self.proof_prefix = proof_prefix
        self._resolver = ItemResolver(versions or NoContentVersions())
        #: Missing items of earlier eras have been dropped.
        self._forgotten_era = 0
        self._newest = START
        self._item_by_key: dict[str, Item] = {}
        self._cached_digest: str | None = None

    @property
    def newest(self) -> Position:
        """The highest known position."""
        return max(self.complete_to, self._newest)

    @property
    def digest(self) -> str:
        """A digest of the contents that a proof must cover.

        It leaves out missing items, which prove nothing.
        """
        if self._cached_digest is None:
            hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
            for item in sorted(
                self.list_existing(self.proof_prefix),
                key=operator.attrgetter('key'),
            ):
                if not self.is_missing(item):
                    hashed.update(_describe(item))
            self._cached_digest = hashed.hexdigest()
        return self._cached_digest

    def get(self, key: str) -> Item | None:
        """Return the known item of a key, even if it was removed."""
        return self._item_by_key.get(key)

    def is_missing(self, item: Item) -> bool:
        """Return whether the store came back without an existing item."""
        return (
            item.content is not None
            and item.position.era < self.complete_to.era
        )

    def mark_complete_to(
        self, position: Position, *, is_complete_read: bool = False
    ) -> None:
        """Record that this table has every change up to a position.

        After a complete read, it may not know every removal before.
        """
        if is_complete_read:
            self._history_from = max(self._history_from, position)
        is_new_era = position.era > self.complete_to.era
        self.complete_to = max(self.complete_to, position)
        if is_new_era:
            self._cached_digest = None
            missing = filter(self.is_missing, self.list_existing(''))
            _notify(self.listeners, list(missing))

    def forget_missing(self) -> None:
        """Drop missing items, and take none from peers any more."""
        if self._forgotten_era == self.complete_to.era:
            return
        self._forgotten_era = self.complete_to.era
        for item in self.list_existing(''):
            if self.is_missing(item):
                self._item_by_key.pop(item.key)

    def merge(self, items: Iterable[Item]) -> int:
        """Store the items that are newer and return the number of changes.

        Unknown keys that were removed before `complete_to` stay so.
        """
        return self._merge(
            item for item in items if not self._is_known_removal(item)
        )

    def merge_changes(self, changes: Changes, *, is_proof_newer: bool) -> None:
        """Merge what a peer sent.

        `is_proof_newer` tells whether the peer's proof is newer than that of
        this VM. If two complete copies differ, the newer proof decides on the
        keys that it covers.
        """
        complete_to = changes.complete_to
        if not changes.is_full or complete_to < self.complete_to:
            self.merge(changes.items)
        elif complete_to > self.complete_to:
            self.replace_prefix('', changes.items, complete_to)
            self.mark_complete_to(complete_to, is_complete_read=True)
        elif is_proof_newer:
            prefix = self.proof_prefix
            covered = [
                one for one in changes.items if one.key.startswith(prefix)
            ]
            self.merge(changes.items)
            self.replace_prefix(prefix, covered, complete_to)
        else:
            self.merge(changes.items)
        self.mark_complete_to(complete_to)

    def replace_prefix(
        self,
        prefix: str,
        items: Iterable[Item],
        position: Position,
        known_before: Position | None = None,
    ) -> int:
        """Apply a complete read of the keys with `prefix` at `position`.

        Keys missing from the read have been removed, unless their last known
        change is newer than the read or than `known_before`, the highest
        position that was known when the read began. Keys of an earlier era are
        kept: the store may have lost them without a removal.
        """
        if position.era > self._newest.era:
            self._newest = position
        removed_before = position
        if known_before is not None:
            removed_before = min(position, known_before.next)
        present = {item.key: item for item in items}
        absent = [
            dataclasses.replace(known, content=None)
            for key, known in self._item_by_key.items()
            if key.startswith(prefix)
            and key not in present
            and known.content is not None
            and Position(position.era) <= known.position < removed_before
        ]
        # A write that the read shows has not been removed, whatever a former
        # read lacked.
        for key in present.keys() & self._item_by_key.keys():
            known = self._item_by_key[key]
            if (
                known.content is None
                and known.position == present[key].position
            ):
                self._item_by_key.pop(key)
        return self._merge([*present.values(), *absent])

    def list_changes(self, after: Position) -> Changes:
        """Return the items that changed after a position.

        Return all items if removals after the position may be unknown.
        """
        is_full = after < self._history_from or after == START
        return Changes(
            tuple(
                item
                for item in self._item_by_key.values()
                if is_full or item.position > after
            ),
            self.complete_to,
            is_full,
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

    def _merge(self, items: Iterable[Item]) -> int:
        changed = []
        for item in items:
            known = self._item_by_key.get(item.key)
            merged = self._resolver.resolve(known, item) if known else item
            if item.key.startswith(self.proof_prefix):
                self._cached_digest = None
            self._item_by_key[item.key] = merged
            self._newest = max(self._newest, merged.position)
            if self._is_visible_change(known, merged):
                changed.append(merged)
        _notify(self.listeners, changed)
        return len(changed)

    def _is_known_removal(self, item: Item) -> bool:
        if item.key in self._item_by_key:
            return False
        if item.position.era < self._forgotten_era:
            return True
        is_current = item.position.era == self.complete_to.era
        return is_current and item.position <= self.complete_to

    def _is_visible_change(self, known: Item | None, merged: Item) -> bool:
        if known is None or known.content != merged.content:
            return True
        return self.is_missing(known) and not self.is_missing(merged)


def _notify(listeners: list[ItemListener], changed: list[Item]) -> None:
    if not changed:
        return
    for listener in listeners:
        listener(changed)


def _describe(item: Item) -> bytes:
    content = item.content or b''
    return b'%s %d\n%s' % (item.key.encode(), len(content), content)
