"""What the fleet needs of the platform's store."""

import abc
import dataclasses

from jacinthcart.errors import WireError


@dataclasses.dataclass(frozen=True)
class Item:
    """One key of the store as of its last change."""

    #: Key.
    key: str
    #: The store's revision of the last change.
    revision: int
    #: Bytes as written; None for a key that was removed.
    content: bytes | None


@dataclasses.dataclass(frozen=True)
class ItemPage:
    """Every item below a prefix."""

    #: Items in order of their keys.
    items: tuple[Item, ...]
    #: The store's revision when the first part was read.
    revision: int


@dataclasses.dataclass(frozen=True)
class WatchResult:
    """Changes since a revision."""

    #: Changed and removed items, oldest first.
    items: tuple[Item, ...]
    #: Revision to continue from.
    revision: int


class StoreError(WireError):
    """A call to the store failed; names the cause."""


class StoreHistoryLostError(StoreError):
    """The store no longer has the history since the revision."""


class BaseStore(abc.ABC):
    """Reads the platform's store; nothing is ever written."""

    @abc.abstractmethod
    async def read(self, prefix: str, timeout_s: float) -> ItemPage:
        """Return all items below `prefix`, current at the call.

        Raise StoreError.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, or none after `wait_s`.

        Raise StoreHistoryLostError when the history is gone and StoreError
        for any other failure.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
