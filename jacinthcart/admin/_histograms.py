"""Fleet-wide histograms and counters, merged from those of the VMs."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from jacinthcart.telemetry import create_histogram

_MICROSECONDS_PER_MS = 1000
_KEY_SEPARATOR = '|'


@dataclasses.dataclass(frozen=True)
class LatencySummary:
    """Quantiles of one latency histogram, in milliseconds."""

    #: Number of recorded values.
    count: int
    #: Median.
    p50_ms: float
    #: 90th percentile.
    p90_ms: float
    #: 99th percentile.
    p99_ms: float
    #: 99.9th percentile.
    p999_ms: float
    #: Largest value.
    max_ms: float


def merge_histograms(
    answers_by_vm: Mapping[str, Any],
) -> dict[str, LatencySummary]:
    """Return the latencies of the whole fleet by histogram key.

    The encoded histograms are decoded and added, as an average of the
    quantiles of several VMs is not a quantile of the fleet.
    """
    totals: dict[str, Any] = {}
    for answer in answers_by_vm.values():
        for key, exported in answer['histograms'].items():
            total = totals.setdefault(key, create_histogram())
            total.add(HdrHistogram.decode(exported['encoded']))
    return {name: _summarize_histogram(totals[name]) for name in sorted(totals)}


def merge_counters(answers_by_vm: Mapping[str, Any]) -> dict[str, int]:
    """Return the sums of the counters over all VMs."""
    totals: dict[str, int] = {}
    for answer in answers_by_vm.values():
        for key, amount in answer['counters'].items():
            totals[key] = totals.get(key, 0) + amount
    return dict(sorted(totals.items()))


def has_kind(key: str, kinds: tuple[str, ...]) -> bool:
    """Return whether the key's metric name is one of `kinds`."""
    return key.split(_KEY_SEPARATOR)[0] in kinds


def split_key(key: str) -> tuple[str, str]:
    """Return the metric name and its labels."""
    name, _, labels = key.partition(_KEY_SEPARATOR)
    return name, labels.replace(_KEY_SEPARATOR, ' ')


def _summarize_histogram(histogram: Any) -> LatencySummary:
    p50, p90, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / _MICROSECONDS_PER_MS
        for percentile in (50, 90, 99, 99.9)
    )
    return LatencySummary(
        histogram.get_total_count(),
        p50,
        p90,
        p99,
        p999,
        histogram.get_max_value() / _MICROSECONDS_PER_MS,
    )
