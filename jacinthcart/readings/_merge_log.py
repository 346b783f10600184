"""Logs items whose positions contradict what this VM knows."""

from collections.abc import Iterable

from jacinthcart.readings._item import Item
from jacinthcart.readings._position import Position
from jacinthcart.readings._table import ItemTable
from jacinthcart.telemetry import Logger, Metrics

_STORE = 'store'
_PEER = 'peer'


class MergeLog:
    """Counts and logs such items; must be called before they are merged.

    Single older items are normal, as answers may overtake each other.
    """

    def __init__(
        self, table: ItemTable, logger: Logger, metrics: Metrics
    ) -> None:
        """Initialise with the table that the items are merged into."""
        self._table = table
        self._logger = logger
        self._metrics = metrics

    def record_read(self, items: Iterable[Item], position: Position) -> None:
        """Record the items of a read or watch of the store.

        `position` is that of the store by the same answer.
        """
        for item in items:
            known = self._table.get(item.key)
            self._record_ignored(item, known, _STORE, position)
            self._record_missed(item, known, position)

    def record_pull(self, items: Iterable[Item]) -> None:
        """Record the items of a pull from a peer."""
        for item in items:
            self._record_ignored(item, self._table.get(item.key), _PEER)

    def _record_ignored(
        self,
        item: Item,
        known: Item | None,
        source: str,
        store_position: Position | None = None,
    ) -> None:
        if known is None or item.content == known.content:
            return
        if item.position > known.position:
            return
        if item.position == known.position:
            # A store gives a position only once. Content that is kept over a
            # return of the store differs, too.
            counter = 'reused_revision'
            event = 'item with a known position but other content'
        else:
            counter = 'older_ignored'
            event = 'item with a lower position ignored'
        self._metrics.count('table', counter)
        self._logger.warning(
            event,
            limit_key=f'{counter} {source}',
            key=item.key,
            position=str(item.position),
            known=str(known.position),
            source=source,
            store=None if store_position is None else str(store_position),
        )

    def _record_missed(
        self, item: Item, known: Item | None, store_position: Position
    ) -> None:
        complete_to = self._table.complete_to
        if known is not None and item.position <= known.position:
            return
        if item.position > complete_to:
            return
        self._metrics.count('table', 'missed_change')
        self._logger.warning(
            'change missed by the copy',
            limit_key='missed_change',
            key=item.key,
            position=str(item.position),
            known=None if known is None else str(known.position),
            complete_to=str(complete_to),
            store=str(store_position),
        )
