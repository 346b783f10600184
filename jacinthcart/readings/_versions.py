"""The order that writers give to the contents of a key."""

import abc


class BaseContentVersions(abc.ABC):
    """Reads the order of writes from contents.

    After the store has come back from an older copy, it tells which of two
    contents was written later.
    """

    @abc.abstractmethod
    def is_older(self, key: str, content: bytes, other: bytes) -> bool:
        """Return whether `content` is known to be written before `other`."""


class NoContentVersions(BaseContentVersions):
    """For contents that tell no order."""

    def is_older(self, key: str, content: bytes, other: bytes) -> bool:
        """Return False."""
        return False
