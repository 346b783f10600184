"""The order that writers give to the contents of a key."""

import abc

#: Version of content, compared as a tuple.
ContentVersion = tuple[int, ...]


class BaseContentVersions(abc.ABC):
    """Reads the version that the writer of a key put into its content.

    After the store has come back from an older copy, versions tell which of
    two contents was written later.
    """

    @abc.abstractmethod
    def get_version(self, key: str, content: bytes) -> ContentVersion | None:
        """Return the version, or None if the content has none."""


class NoContentVersions(BaseContentVersions):
    """For contents without versions."""

    def get_version(self, key: str, content: bytes) -> ContentVersion | None:
        """Return None."""
