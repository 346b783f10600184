"""HDR histograms, counters and invariant checks of one process."""

import collections
from typing import Any

from hdrh.histogram import HdrHistogram

from jacinthcart.errors import InvariantViolationError

MetricKey = tuple[str, ...]

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 120_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS_PER_SECOND = 1_000_000
_PERCENT = 100
_LOWEST_PERCENT = 1
#: Ratios above 100 are recorded as 100.
_HIGHEST_PERCENT = 10_000
_KEY_SEPARATOR = '|'


class Metrics:
    """Histograms of durations and of ratios, and counters, by key.

    A key is a tuple of a metric name and its labels, for example
    `('request', 'team/workspace', 'priority')`. Labels must not contain API
    keys of callers or query text.
    """

    def __init__(self) -> None:
        """Start without histograms and counters."""
        self.counts_by_key: collections.Counter[MetricKey] = (
            collections.Counter()
        )
        self._histograms_by_key: dict[MetricKey, Any] = {}
        self._ratio_histograms_by_key: dict[MetricKey, Any] = {}

    def record_seconds(self, key: MetricKey, seconds: float) -> None:
        """Record a duration in the histogram of `key`."""
        histogram = self._histograms_by_key.get(key)
        if histogram is None:
            histogram = create_histogram()
            self._histograms_by_key[key] = histogram
        microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
        histogram.record_value(
            min(max(microseconds, _LOWEST_MICROSECONDS), _HIGHEST_MICROSECONDS),
        )

    def record_ratio(self, key: MetricKey, ratio: float) -> None:
        """Record a ratio in the histogram of `key`."""
        histogram = self._ratio_histograms_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_PERCENT, _HIGHEST_PERCENT, _SIGNIFICANT_DIGITS
            )
            self._ratio_histograms_by_key[key] = histogram
        percent = min(ratio * _PERCENT, _HIGHEST_PERCENT)
        histogram.record_value(max(int(percent), _LOWEST_PERCENT))

    def count(self, *key: str, amount: int = 1) -> None:
        """Add `amount` to the counter of `key`."""
        self.counts_by_key[key] += amount

    def quantile_seconds(
        self,
        key: MetricKey,
        quantile: float,
        minimum_count: int = 1,
    ) -> float | None:
        """Return a quantile, or None for fewer than `minimum_count` values."""
        histogram = self._histograms_by_key.get(key)
        if histogram is None:
            return None
        if histogram.get_total_count() < minimum_count:
            return None
        percentile = quantile * 100
        microseconds = histogram.get_value_at_percentile(percentile)
        return float(microseconds) / _MICROSECONDS_PER_SECOND

    def list_histogram_keys(self) -> list[MetricKey]:
        """Return the keys of all histograms of durations, sorted."""
        return sorted(self._histograms_by_key)

    def quantile_ratio(self, key: MetricKey, quantile: float) -> float | None:
        """Return a quantile of the ratios of `key`, or None without any."""
        histogram = self._ratio_histograms_by_key.get(key)
        if histogram is None:
            return None
        percent = histogram.get_value_at_percentile(quantile * _PERCENT)
        return float(percent) / _PERCENT

    def list_ratio_keys(self) -> list[MetricKey]:
        """Return the keys of all histograms of ratios, sorted."""
        return sorted(self._ratio_histograms_by_key)

    def check(self, invariant: str, condition: bool, detail: str = '') -> None:
        """Count a violation and raise InvariantViolationError.

        Do nothing if `condition` is true.
        """
        if condition:
            return
        self.count('invariant_violation', invariant)
        raise InvariantViolationError(invariant, detail)

    def export(self) -> dict[str, dict[str, Any]]:
        """Return counters and histograms of durations by `|`-joined keys."""
        return {
            'histograms': {
                _KEY_SEPARATOR.join(key): histogram.encode().decode()
                for key, histogram in self._histograms_by_key.items()
            },
            'counters': {
                _KEY_SEPARATOR.join(key): amount
                for key, amount in self.counts_by_key.items()
            },
        }


def create_histogram() -> Any:
    """Return an empty HDR histogram of microseconds."""
    return HdrHistogram(
        _LOWEST_MICROSECONDS,
        _HIGHEST_MICROSECONDS,
        _SIGNIFICANT_DIGITS,
    )
