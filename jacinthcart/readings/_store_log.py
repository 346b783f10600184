"""Logs a store whose revision goes back."""

from jacinthcart.readings._source import ReadResult, WatchResult
from jacinthcart.telemetry import Logger, Metrics


class StoreLog:
    """Counts and logs answers with a lower revision than an earlier one."""

    def __init__(self, logger: Logger, metrics: Metrics) -> None:
        """Start without an answer."""
        #: Highest revision of an answer since the store last went back.
        self.newest_revision = 0
        self._logger = logger
        self._metrics = metrics

    def record(self, answer: ReadResult | WatchResult, former: int) -> None:
        """Record an answer to a call.

        `former` is a revision that was known when the call was sent. Later
        ones do not count, as the answer to a later call may arrive first.
        """
        if answer.revision < min(former, self.newest_revision):
            self._metrics.count('store', 'revision_went_back')
            self._logger.warning(
                'store revision went back',
                limit_key='store_revision',
                former=former,
                current=answer.revision,
                era=answer.era,
            )
            self.newest_revision = answer.revision
        self.newest_revision = max(self.newest_revision, answer.revision)
