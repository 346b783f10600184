"""Limit on the memory of all responses that are being received."""

import weakref
from collections.abc import Callable

from jacinthcart.routing._body import BaseResponseBody


class ResponseAccount:
    """The received bytes that one connection holds."""

    def __init__(
        self,
        memory: 'ResponseMemory',
        discard: weakref.WeakMethod[Callable[[], None]],
    ) -> None:
        """Create an empty account; ResponseMemory.open does this."""
        self.held_bytes = 0
        self.discard = discard
        self._memory = memory

    def add(self, received_bytes: int) -> None:
        """Add received bytes, which may discard the largest response."""
        self.held_bytes += received_bytes
        self._memory.record(received_bytes, self)

    def clear(self) -> None:
        """Release all bytes."""
        self._memory.record(-self.held_bytes, self)
        self.held_bytes = 0


class ResponseMemory:
    """Bounds the bytes that all connections to searchers hold together.

    Searchers in trouble may send without end on many connections. While all
    responses together exceed the limit, the largest one is discarded, so
    that small ones of other searchers still arrive.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create the limit; nothing is held."""
        self.held_bytes = 0
        #: Bodies of large responses that exist, whether held or not.
        self.bodies: weakref.WeakSet[BaseResponseBody] = weakref.WeakSet()
        self._limit_bytes = limit_bytes
        self._holding: set[ResponseAccount] = set()

    def open(
        self, discard: weakref.WeakMethod[Callable[[], None]]
    ) -> ResponseAccount:
        """Return the account of a connection.

        `discard` must drop what the connection holds and clear the account.
        It must be alive while the account holds bytes.
        """
        return ResponseAccount(self, discard)

    def record(self, change_bytes: int, account: ResponseAccount) -> None:
        """Record a change of an account and apply the limit."""
        self.held_bytes += change_bytes
        if change_bytes <= 0:
            self._holding.discard(account)
            return
        self._holding.add(account)
        while self.held_bytes > self._limit_bytes:
            largest = max(self._holding, key=_get_held_bytes)
            discard = largest.discard()
            if discard is None:
                largest.clear()
            else:
                discard()


def _get_held_bytes(account: ResponseAccount) -> int:
    return account.held_bytes
