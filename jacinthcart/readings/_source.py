"""Interface to the platform's store."""

import abc
import dataclasses

from jacinthcart.errors import WireError


@dataclasses.dataclass(frozen=True)
class StoredItem:
    """One key of the store as of its last change."""

    key: str
    #: Revision of the store at the last change.
    revision: int
    #: Stored bytes; None for a removed key.
    content: bytes | None


@dataclasses.dataclass(frozen=True)
class ReadResult:
    """All items whose keys have a given prefix."""

    #: Items, sorted by key.
    items: tuple[StoredItem, ...]
    #: Revision of the store when the first page was read; `items` may lack
    #: later changes.
    revision: int
    #: Era that the store stated; None if it stated none.
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class WatchResult:
    """Changes since a revision."""

    #: Changed and removed items, oldest first.
    items: tuple[StoredItem, ...]
    #: Revision to continue from.
    revision: int
    #: Era that the store stated; None if it stated none.
    era: int | None = None


class StoreError(WireError):
    """A call to the store failed; the message names the cause."""


class StoreHistoryLostError(StoreError):
    """The store no longer has the changes since a revision."""


class StoreEraError(StoreError):
    """An answer contradicts what is known of the store's history."""


class BaseStore(abc.ABC):
    """Read-only access to the platform's store."""

    @abc.abstractmethod
    async def read(self, prefix: str, timeout_s: float) -> ReadResult:
        """Return all items with `prefix`, as of the time of the call.

        Raise StoreEraError when the store came back from an older copy between
        two pages, and StoreError for any other failure.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, waiting at most `wait_s`.

        The result is empty if there is no change within that time.

        Raise StoreHistoryLostError when the history is no longer available
        and StoreError for any other failure.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
