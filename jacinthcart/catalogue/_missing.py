"""Keys that the store came back without."""

from collections.abc import Iterable

from jacinthcart.program import Clock


class MissingKeys:
    """Keys missing since the store came back from an older copy.

    Such a key may be written again at any moment. It is retained for a
    limited time from when it became known to be missing. A key that has
    lapsed stays lapsed, however often it is reported as missing, until it is
    discarded.
    """

    def __init__(self, clock: Clock, retention_s: float) -> None:
        """Create without any keys; each is retained for `retention_s`."""
        self._clock = clock
        self._retention_s = retention_s
        self._since_by_key: dict[str, float] = {}

    def add(self, key: str) -> None:
        """Record that a key is missing, unless that is known already."""
        self._since_by_key.setdefault(key, self._clock())

    def discard(self, key: str) -> bool:
        """Forget a key; return whether it was missing."""
        return self._since_by_key.pop(key, None) is not None

    def replace(self, keys: Iterable[str]) -> None:
        """Set the missing keys; known ones keep their time."""
        now = self._clock()
        self._since_by_key = {
            key: self._since_by_key.get(key, now) for key in keys
        }

    def has_lapsed(self, key: str) -> bool:
        """Return whether a key has been missing for too long."""
        since = self._since_by_key.get(key)
        return since is not None and self._clock() - since >= self._retention_s

    def list_lapsed(self) -> list[str]:
        """Return the keys that are no longer retained."""
        return [key for key in self._since_by_key if self.has_lapsed(key)]

    def list_retained(self) -> list[str]:
        """Return the missing keys that are still retained."""
        return [key for key in self._since_by_key if not self.has_lapsed(key)]
