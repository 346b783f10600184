"""Logs items whose revisions contradict what this VM knows."""

from collections.abc import Iterable

from jacinthcart.readings._source import Item
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

    def record_read(self, items: Iterable[Item], store_revision: int) -> None:
        """Record the items of a read or watch of the store.

        `store_revision` is the store's revision by the same answer.
        """
        for item in items:
            known = self._table.get(item.key)
            self._record_ignored(item, known, _STORE, store_revision)
            self._record_missed(item, known, store_revision)

    def record_pull(self, items: Iterable[Item]) -> None:
        """Record the items of a pull from a peer."""
        for item in items:
            self._record_ignored(item, self._table.get(item.key), _PEER)

    def _record_ignored(
        self,
        item: Item,
        known: Item | None,
        source: str,
        store_revision: int | None = None,
    ) -> None:
        if known is None or item.content == known.content:
            return
        if item.revision > known.revision:
            return
        if item.revision == known.revision:
            # A store gives a revision only once, unless it came back from an
            # older copy.
            counter = 'reused_revision'
            event = 'item with a known revision but other content ignored'
        else:
            counter = 'older_ignored'
            event = 'item with a lower revision ignored'
        self._metrics.count('table', counter)
        self._logger.warning(
            event,
            limit_key=f'{counter} {source}',
            key=item.key,
            revision=item.revision,
            known_revision=known.revision,
            source=source,
            store_revision=store_revision,
        )

    def _record_missed(
        self, item: Item, known: Item | None, store_revision: int
    ) -> None:
        known_revision = known.revision if known else 0
        complete_to = self._table.complete_to
        if not known_revision < item.revision <= complete_to:
            return
        self._metrics.count('table', 'missed_change')
        self._logger.warning(
            'change missed by the copy',
            limit_key='missed_change',
            key=item.key,
            revision=item.revision,
            known_revision=known.revision if known else None,
            complete_to=complete_to,
            store_revision=store_revision,
        )
