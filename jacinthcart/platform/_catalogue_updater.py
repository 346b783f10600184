"""Applies changes of the store to the catalogue."""

from jacinthcart.catalogue import CatalogueState, Searcher
from jacinthcart.errors import InvalidMessageError
from jacinthcart.platform._documents import decode_catalogue, decode_searcher
from jacinthcart.platform._keys import (
    CONFIG_KEY,
    EVACUATE_PREFIX,
    OPERATOR_PREFIX,
    SERVER_PREFIX,
)
from jacinthcart.readings import Item, ItemTable
from jacinthcart.telemetry import Logger


class CatalogueUpdater:
    """Decodes changed items of the table and updates the catalogue."""

    def __init__(
        self,
        table: ItemTable,
        catalogue_state: CatalogueState,
        logger: Logger,
    ) -> None:
        """Register as a listener of the table."""
        self._table = table
        self._catalogue_state = catalogue_state
        self._logger = logger
        table.listeners.append(self._apply_items)

    def _apply_items(self, items: list[Item]) -> None:
        self._log_missing(items)
        changes: dict[str, Searcher | None] = {}
        has_evacuations = False
        for item in items:
            if item.key == CONFIG_KEY:
                self._apply_config(item)
            elif item.key.startswith(SERVER_PREFIX):
                searcher_id = item.key.removeprefix(SERVER_PREFIX)
                changes[searcher_id] = self._decode(searcher_id, item)
            elif item.key.startswith(EVACUATE_PREFIX):
                has_evacuations = True
        if has_evacuations:
            self._apply_evacuations()
        self._catalogue_state.apply_searcher_changes(
            changes,
            {
                one.key.removeprefix(SERVER_PREFIX)
                for one in items
                if self._table.is_missing(one)
            },
        )

    def _log_missing(self, items: list[Item]) -> None:
        missing = [one.key for one in items if self._table.is_missing(one)]
        if missing:
            self._logger.warning(
                'store came back without keys',
                count=len(missing),
                operator_keys=[
                    key for key in missing if key.startswith(OPERATOR_PREFIX)
                ],
            )

    def _apply_evacuations(self) -> None:
        written: set[str] = set()
        missing: set[str] = set()
        for item in self._table.list_existing(EVACUATE_PREFIX):
            data_centres = missing if self._table.is_missing(item) else written
            data_centres.add(item.key.removeprefix(EVACUATE_PREFIX))
        self._catalogue_state.update_evacuated(written, missing)

    def _apply_config(self, item: Item) -> None:
        if item.content is None:
            return
        try:
            catalogue = decode_catalogue(item.content)
        except InvalidMessageError as error:
            self._logger.error(
                'invalid configuration document; keeping the last valid one',
                position=str(item.position),
                error=str(error),
            )
            return
        self._catalogue_state.update_catalogue(catalogue, str(item.position))

    def _decode(self, searcher_id: str, item: Item) -> Searcher | None:
        if item.content is None:
            return None
        try:
            return decode_searcher(searcher_id, item.content)
        except InvalidMessageError as error:
            self._logger.warning(
                'invalid entry of a searcher; ignoring the searcher',
                limit_key='unreadable_entry',
                searcher=searcher_id,
                error=str(error),
            )
            return None
