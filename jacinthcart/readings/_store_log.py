"""Logs how the store answers."""

from jacinthcart.readings._lease import FreshnessLease
from jacinthcart.readings._position import START, Position
from jacinthcart.readings._source import StoreEraError, StoreError
from jacinthcart.telemetry import Logger, Metrics


class StoreLog:
    """Counts and logs outages and returns of the store."""

    def __init__(
        self, lease: FreshnessLease, logger: Logger, metrics: Metrics
    ) -> None:
        """Start with an available store."""
        self._lease = lease
        self._logger = logger
        self._metrics = metrics
        #: Whether the last call to the store succeeded.
        self._is_available = True
        self._has_stated_era = False
        #: Era of the last logged return, which several calls may find.
        self._logged_era = 0

    def record_failure(self, error: StoreError) -> None:
        """Record a failed call."""
        self._metrics.count('store_call', 'failed')
        if isinstance(error, StoreEraError):
            self._metrics.count('store_call', 'contradictory')
        if self._is_available:
            self._logger.warning(
                'platform store unavailable',
                limit_key='store_unavailable',
                error=str(error),
                proof_age_s=round(self._lease.age_s, 3),
            )
        self._is_available = False

    def record_success(self) -> None:
        """Record an answered call."""
        self._metrics.count('store_call', 'answered')
        if not self._is_available:
            self._logger.info('platform store available again')
        self._is_available = True

    def record_position(
        self, position: Position, known: Position, stated_era: int | None
    ) -> None:
        """Record the position of an answer.

        `known` is the highest position that was known when the call was sent.
        `stated_era` is the era that the store stated, if any.
        """
        if stated_era is None and self._has_stated_era:
            self._metrics.count('store_call', 'no_era')
            self._logger.warning(
                'store stated no valid era',
                limit_key='store_era',
                position=str(position),
            )
        self._has_stated_era |= stated_era is not None
        is_return = position.era > max(known.era, self._logged_era)
        if is_return and known != START:
            self._logged_era = position.era
            self._metrics.count('store', 'returned')
            self._logger.warning(
                'store came back from an older copy',
                former=str(known),
                current=str(position),
                stated_era=stated_era,
            )
