"""Limits on what reading the long responses of searchers costs."""

import contextlib
import weakref
from collections.abc import Iterator

import anyio

from jacinthcart.catalogue import Searcher
from jacinthcart.streams import MessageProcessing, ProcessingBudget

#: Bytes beyond the free ones from which a response takes a slot.
_SLOT_BYTES = 262_144
#: Responses of one searcher process that are read beyond that at once.
_MAX_SLOTS = 8


class _Slots:
    """Slots of the long responses of one searcher process."""

    def __init__(self) -> None:
        """Create free slots."""
        self.semaphore = anyio.Semaphore(_MAX_SLOTS)


class ResponseReading:
    """Limits the reading of one response."""

    def __init__(self, processing: MessageProcessing, slots: _Slots) -> None:
        """Create it; LongResponses.open does this."""
        self.processing = processing
        self._slots = slots
        self._has_slot = False

    async def take_slot(self) -> None:
        """Wait for a slot if reading further needs one."""
        needs_slot = self.processing.limited_bytes > _SLOT_BYTES
        if needs_slot and not self._has_slot:
            await self._slots.semaphore.acquire()
            self._has_slot = True

    @contextlib.contextmanager
    def release_slot(self) -> Iterator[None]:
        """Release at the end the slot that was taken."""
        try:
            yield
        finally:
            if self._has_slot:
                self._has_slot = False
                self._slots.semaphore.release()


class LongResponses:
    """Creates the limits of all responses of searchers."""

    def __init__(self, budget: ProcessingBudget) -> None:
        """Create limits within `budget`."""
        self._budget = budget
        self._slots_by_process: weakref.WeakValueDictionary[
            tuple[str, int], _Slots
        ] = weakref.WeakValueDictionary()

    def open(self, searcher: Searcher) -> 'SearcherReading':
        """Return the limits of a connection to a searcher."""
        slots = self._slots_by_process.get(searcher.process)
        if slots is None:
            slots = _Slots()
            self._slots_by_process[searcher.process] = slots
        return SearcherReading(self._budget, searcher.searcher_id, slots)


class SearcherReading:
    """Limits the reading from one connection."""

    def __init__(
        self, budget: ProcessingBudget, searcher_id: str, slots: _Slots
    ) -> None:
        """Create it; LongResponses.open does this."""
        self._budget = budget
        self._searcher_id = searcher_id
        self._slots = slots

    def begin_response(self, parsed_bytes: int) -> ResponseReading:
        """Return the limits of a response of which some bytes are parsed."""
        processing = self._budget.open(self._searcher_id)
        processing.record_free(parsed_bytes)
        return ResponseReading(processing, self._slots)


def create_single_reading() -> SearcherReading:
    """Return limits that no other connection shares."""
    return SearcherReading(ProcessingBudget(), '', _Slots())
