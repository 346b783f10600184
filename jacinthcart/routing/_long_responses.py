"""Limits on what reading the long responses of searchers costs."""

from jacinthcart.catalogue import Searcher
from jacinthcart.streams import MessageProcessing, ProcessingBudget


class ResponseReading:
    """Limits the reading of one response."""

    def __init__(self, processing: MessageProcessing) -> None:
        """Create it; SearcherReading.begin_response does this."""
        self.processing = processing


class LongResponses:
    """Creates the limits of all responses of searchers."""

    def __init__(self, budget: ProcessingBudget) -> None:
        """Create limits within `budget`."""
        self._budget = budget

    def open(self, searcher: Searcher) -> 'SearcherReading':
        """Return the limits of a connection to a searcher."""
        return SearcherReading(self._budget, searcher.searcher_id)


class SearcherReading:
    """Limits the reading from one connection."""

    def __init__(self, budget: ProcessingBudget, searcher_id: str) -> None:
        """Create it; LongResponses.open does this."""
        self._budget = budget
        self._searcher_id = searcher_id

    def begin_response(self, parsed_bytes: int) -> ResponseReading:
        """Return the limits of a response of which some bytes are parsed."""
        processing = self._budget.open(self._searcher_id)
        processing.record_free(parsed_bytes)
        return ResponseReading(processing)


def create_single_reading() -> SearcherReading:
    """Return limits that no other connection shares."""
    return SearcherReading(ProcessingBudget(), '')
