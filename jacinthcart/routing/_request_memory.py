"""Limits on the bytes of requests that searchers have not answered."""

import collections
import contextlib
from collections.abc import Callable, Iterator

from jacinthcart.errors import RequestMemoryError

#: Bytes of unanswered requests that all VMs together send to one searcher. It
#: ends if the requests that it holds exceed its memory.
_SEARCHER_REQUEST_BYTES = 32 * 1024 * 1024


class RequestMemory:
    """Bounds the bytes of unanswered requests, for each searcher and in all.

    One request may always be sent to a searcher that has none of this VM.
    """

    def __init__(
        self, limit_bytes: int, compute_share: Callable[[], float]
    ) -> None:
        """Create the limits; no request is sent.

        `limit_bytes` limits what this VM holds for all searchers.
        `compute_share` returns this VM's share of what a searcher holds.
        """
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._compute_share = compute_share
        self._held_by_process: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )

    def check(self, process: tuple[str, int], request_bytes: int) -> None:
        """Raise RequestMemoryError if there is no room for a request."""
        if self.held_bytes + request_bytes > self._limit_bytes:
            raise RequestMemoryError('too many bytes of unanswered requests')
        held_bytes = self._held_by_process[process]
        if not held_bytes:
            return
        share_bytes = _SEARCHER_REQUEST_BYTES * self._compute_share()
        if held_bytes + request_bytes > share_bytes:
            raise RequestMemoryError('searcher holds too many request bytes')

    @contextlib.contextmanager
    def hold(
        self, process: tuple[str, int], request_bytes: int
    ) -> Iterator[None]:
        """Count a request while it is unanswered; raise RequestMemoryError."""
        self.check(process, request_bytes)
        self.held_bytes += request_bytes
        self._held_by_process[process] += request_bytes
        try:
            yield
        finally:
            self._release(process, request_bytes)

    def _release(self, process: tuple[str, int], request_bytes: int) -> None:
        self.held_bytes -= request_bytes
        self._held_by_process[process] -= request_bytes
        if not self._held_by_process[process]:
            self._held_by_process.pop(process)
