"""Log lines and counters about single searchers."""

from jacinthcart.catalogue import Searcher
from jacinthcart.errors import MalformedResponseError, RequestMemoryError
from jacinthcart.routing._response_progress import ResponseProgress
from jacinthcart.telemetry import Logger, Metrics

_METRIC = 'searcher'
_MILLISECONDS_PER_SECOND = 1000


class SearcherLog:
    """Counts and logs what a searcher does beside answering requests."""

    def __init__(self, metrics: Metrics, logger: Logger) -> None:
        """Create the log."""
        self._metrics = metrics
        self._logger = logger

    def log_malformed_response(
        self, searcher: Searcher, error: MalformedResponseError
    ) -> None:
        """Log bytes that are no response."""
        self._metrics.count(_METRIC, 'malformed_response')
        self._logger.warning(
            'malformed response',
            limit_key='malformed_response',
            searcher=searcher.searcher_id,
            born=searcher.born,
            error=str(error),
        )

    def log_unfinished_response(
        self,
        searcher: Searcher,
        progress: ResponseProgress,
        reason: str,
        elapsed_s: float,
        suppressed: int,
    ) -> None:
        """Log a response that was given up before its end.

        `elapsed_s` is the time in seconds since its request was sent,
        `suppressed` the number of such lines left out for the searcher. The
        caller limits the rate.
        """
        self._logger.warning(
            'response given up',
            searcher=searcher.searcher_id,
            born=searcher.born,
            reason=reason,
            status=progress.status,
            framing=progress.framing,
            received_bytes=progress.received_bytes,
            pieces=progress.pieces,
            elapsed_ms=round(elapsed_s * _MILLISECONDS_PER_SECOND),
            suppressed=suppressed,
        )

    def log_malformed_load(self, searcher: Searcher) -> None:
        """Log a load report with an unusable figure."""
        self._metrics.count(_METRIC, 'malformed_load')
        self._logger.warning(
            'malformed load report',
            limit_key='malformed_load',
            searcher=searcher.searcher_id,
            born=searcher.born,
        )

    def log_unreliable_load(self, searcher: Searcher) -> None:
        """Log that a searcher's load reports are no longer used."""
        self._metrics.count(_METRIC, 'unreliable_load')
        self._logger.warning(
            'load reports contradict latencies',
            limit_key='unreliable_load',
            searcher=searcher.searcher_id,
            born=searcher.born,
        )

    def log_leaving(self, searcher: Searcher) -> None:
        """Log that a searcher process wants no further requests."""
        self._metrics.count(_METRIC, 'leaving')
        self._logger.info(
            'searcher leaves',
            limit_key='searcher_leaving',
            searcher=searcher.searcher_id,
            born=searcher.born,
        )

    def log_withheld(
        self, searcher: Searcher, held_bytes: int, error: RequestMemoryError
    ) -> None:
        """Log a request that was not sent for lack of memory."""
        self._metrics.count(_METRIC, 'request_memory')
        self._logger.warning(
            'request not sent',
            limit_key='request_memory',
            searcher=searcher.searcher_id,
            held_bytes=held_bytes,
            error=str(error),
        )
