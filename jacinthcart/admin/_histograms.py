"""Histograms of the whole fleet, added from those of the VMs."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from jacinthcart.telemetry import create_histogram

_MICROSECONDS_PER_MS = 1000
_KEY_SEPARATOR = '|'


@dataclasses.dataclass(frozen=True)
class Quantiles:
    """One histogram's figures, in milliseconds."""

    #: Number of values.
    count: int
    #: Median.
    p50_ms: float
    #: 90 in 100 values are at most this.
    p90_ms: float
    #: 99 in 100 values are at most this.
    p99_ms: float
    #: 999 in 1000 values are at most this.
    p999_ms: float
    #: Largest value.
    max_ms: float


def merge_histograms(
    answers_by_vm: Mapping[str, Any],
) -> dict[str, Quantiles]:
    """Return the figures of the fleet by histogram key.

    Encoded histograms are decoded and added; quantiles of VMs cannot be
    averaged.
    """
    added: dict[str, Any] = {}
    for answer in answers_by_vm.values():
        for key, described in answer['histograms'].items():
            total = added.setdefault(key, create_histogram())
            total.add(HdrHistogram.decode(described['encoded']))
    return {name: _find_quantiles(added[name]) for name in sorted(added)}


def merge_counters(answers_by_vm: Mapping[str, Any]) -> dict[str, int]:
    """Return the counters added over the VMs."""
    added: dict[str, int] = {}
    for answer in answers_by_vm.values():
        for key, amount in answer['counters'].items():
            added[key] = added.get(key, 0) + amount
    return dict(sorted(added.items()))


def has_kind(key: str, kinds: tuple[str, ...]) -> bool:
    """Return whether the key's metric name is one of `kinds`."""
    return key.split(_KEY_SEPARATOR)[0] in kinds


def split_key(key: str) -> tuple[str, str]:
    """Return the metric name and its labels."""
    name, _, labels = key.partition(_KEY_SEPARATOR)
    return name, labels.replace(_KEY_SEPARATOR, ' ')


def _find_quantiles(histogram: Any) -> Quantiles:
    p50, p90, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / _MICROSECONDS_PER_MS
        for percentile in (50, 90, 99, 99.9)
    )
    return Quantiles(
        histogram.get_total_count(),
        p50,
        p90,
        p99,
        p999,
        histogram.get_max_value() / _MICROSECONDS_PER_MS,
    )
