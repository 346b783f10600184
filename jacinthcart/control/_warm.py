"""This VM's replica of the fleet's warm table.

The merge rule for two entries is defined in the package `warming`.
"""

from collections.abc import Mapping
from typing import Any

import xxhash

from jacinthcart.errors import InvalidMessageError
from jacinthcart.feed import WarmEntry, decode_warm_entries
from jacinthcart.warming import merge_warm_entry
from jacinthcart.wire import encode_json


class WarmTable:
    """Warm entries by searcher id; merging never reverts an entry."""

    def __init__(self) -> None:
        """Create an empty table; equal tables have equal digests."""
        self.entries_by_searcher_id: dict[str, WarmEntry] = {}
        self.digest = ''
        self._refresh_digest()

    def merge(self, entries: Mapping[str, WarmEntry]) -> dict[str, WarmEntry]:
        """Merge received entries; return those that changed the table."""
        changed: dict[str, WarmEntry] = {}
        for searcher_id, received in entries.items():
            known = self.entries_by_searcher_id.get(searcher_id)
            merged = (
                received
                if known is None
                else merge_warm_entry(
                    known,
                    received,
                )
            )
            if merged != known:
                changed[searcher_id] = merged
        self.entries_by_searcher_id.update(changed)
        self._refresh_digest()
        return changed

    def retain(self, searcher_ids: frozenset[str]) -> None:
        """Keep only the searchers of the settings in force, `searcher_ids`."""
        for searcher_id in set(self.entries_by_searcher_id) - searcher_ids:
            self.entries_by_searcher_id.pop(searcher_id)
        self._refresh_digest()

    def export(self) -> dict[str, dict[str, Any]]:
        """Return the JSON form of all entries."""
        return encode_warm_entries(self.entries_by_searcher_id)

    def _refresh_digest(self) -> None:
        ordered = sorted(self.export().items())
        self.digest = xxhash.xxh64_hexdigest(encode_json(ordered))


def encode_warm_entries(
    entries: Mapping[str, WarmEntry],
) -> dict[str, dict[str, Any]]:
    """Return the JSON form of warm entries by searcher id."""
    return {
        searcher_id: {
            'incident': entry.incident,
            'warm': entry.warm,
            'generation': entry.generation,
        }
        for searcher_id, entry in entries.items()
    }


def read_warm_entries(message: Any) -> dict[str, WarmEntry]:
    """Decode the JSON form; raise InvalidMessageError if it is invalid."""
    if not isinstance(message, dict):
        raise InvalidMessageError('warm entries are not an object')
    try:
        return decode_warm_entries(message)
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(f'warm entries: {error!r}') from error
