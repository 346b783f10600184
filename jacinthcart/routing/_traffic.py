"""Traffic with single searchers, for metrics and logs."""

import types
from collections.abc import Container

import anyio

from jacinthcart.catalogue import Searcher
from jacinthcart.errors import (
    MalformedResponseError,
    NotSentError,
    ResponseTooLargeError,
)
from jacinthcart.program import Clock
from jacinthcart.routing._response_progress import (
    ResponseProgress,
    SearcherTraffic,
)
from jacinthcart.routing._searcher_log import SearcherLog

#: Searchers with figures of their own. Each has up to eight lines in a page of
#: metrics.
_MAX_SEARCHERS = 256
#: Label of all searchers beyond these.
OTHER = 'other'
#: Seconds between two log lines about one searcher.
_LINE_INTERVAL_S = 10.0
#: Log lines a second about all searchers together, and seconds of the burst.
_MAX_LINES_PER_S = 5
_BURST_S = 1.0
_REASONS = (
    (ResponseTooLargeError, 'too large'),
    (MalformedResponseError, 'malformed'),
)
#: The connection failed or ended, or carried only other responses.
_FAILED = 'failed'


class TrafficTable:
    """Figures by searcher id; bounded, as searchers come and go."""

    def __init__(self, log: SearcherLog, clock: Clock) -> None:
        """Create a table without searchers."""
        self.traffic_by_label: dict[str, SearcherTraffic] = {}
        self._log = log
        self._clock = clock
        self._lines = 0.0
        self._lines_at = clock()

    def observe(
        self, searcher: Searcher, progress: ResponseProgress
    ) -> '_Observation':
        """Return a context in which one request is sent and answered."""
        return _Observation(self, searcher, progress, self._clock)

    def get(self, searcher_id: str) -> SearcherTraffic:
        """Return the figures that count for a searcher."""
        label = searcher_id
        traffic = self.traffic_by_label.get(label)
        if traffic is None:
            if len(self.traffic_by_label) >= _MAX_SEARCHERS:
                label = OTHER
            traffic = self.traffic_by_label.setdefault(label, SearcherTraffic())
        return traffic

    def retain(self, searcher_ids: Container[str]) -> None:
        """Drop the figures of searchers that are not among `searcher_ids`."""
        for label in list(self.traffic_by_label):
            if label != OTHER and label not in searcher_ids:
                self.traffic_by_label.pop(label)

    def record_unfinished(
        self,
        searcher: Searcher,
        progress: ResponseProgress,
        reason: str,
        elapsed_s: float,
    ) -> None:
        """Count a response that did not complete; log one given up."""
        traffic = self.get(searcher.searcher_id)
        traffic.unfinished_by_reason[reason] += 1
        # A connection that fails is no decision of this VM.
        if reason == _FAILED:
            return
        if not self._may_log(traffic):
            traffic.suppressed_lines += 1
            return
        self._log.log_unfinished_response(
            searcher, progress, reason, elapsed_s, traffic.suppressed_lines
        )
        traffic.suppressed_lines = 0

    def _may_log(self, traffic: SearcherTraffic) -> bool:
        now = self._clock()
        if now < traffic.next_line_at:
            return False
        elapsed_s = now - self._lines_at
        self._lines_at = now
        self._lines = max(0.0, self._lines - elapsed_s * _MAX_LINES_PER_S)
        if self._lines + 1 > _MAX_LINES_PER_S * _BURST_S:
            return False
        self._lines += 1
        traffic.next_line_at = now + _LINE_INTERVAL_S
        return True


class _Observation:
    """Measures one exchange with a searcher."""

    def __init__(
        self,
        table: TrafficTable,
        searcher: Searcher,
        progress: ResponseProgress,
        clock: Clock,
    ) -> None:
        """Create the context; TrafficTable.observe does this."""
        self._table = table
        self._searcher = searcher
        self._progress = progress
        self._clock = clock
        self._began_at = 0.0

    def __enter__(self) -> None:
        """Begin the exchange."""
        self._progress.begin(self._table.get(self._searcher.searcher_id))
        self._began_at = self._clock()

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Record how the exchange ended; let every error pass."""
        if isinstance(error, NotSentError):
            return
        self._table.get(self._searcher.searcher_id).sends += 1
        if error is not None and self._progress.received_bytes:
            self._table.record_unfinished(
                self._searcher,
                self._progress,
                _find_reason(error, self._progress),
                self._clock() - self._began_at,
            )


def _find_reason(error: BaseException, progress: ResponseProgress) -> str:
    if progress.was_discarded:
        return 'memory'
    if isinstance(error, anyio.get_cancelled_exc_class()):
        return 'time limit'
    for error_class, reason in _REASONS:
        if isinstance(error, error_class):
            return reason
    return _FAILED
