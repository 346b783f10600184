"""Resource usage of this process: CPU, memory and traffic."""

import dataclasses
import os
import pathlib
import time
from collections.abc import Callable
from typing import Any

import anyio

from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics

_SAMPLE_INTERVAL_S = 10.0
_STATM = pathlib.Path('/proc/self/statm')


@dataclasses.dataclass(frozen=True)
class UsageSample:
    """Cumulative totals of the process at one point in time."""

    #: Time of the sample in seconds.
    at: float
    cpu_s: float
    #: Bytes of datagrams sent and received.
    datagram_bytes: int
    #: Bytes of HTTP bodies sent and received.
    http_bytes: int


class ResourceUsage:
    """Samples the totals periodically and derives rates from them."""

    def __init__(
        self,
        metrics: Metrics,
        clock: Clock,
        read_cpu: Callable[[], float] = time.process_time,
    ) -> None:
        """Record the first sample."""
        self._metrics = metrics
        self._clock = clock
        self._read_cpu = read_cpu
        self._samples = [self._sample()]

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await anyio.sleep(_SAMPLE_INTERVAL_S)
            self._samples = [self._samples[-1], self._sample()]

    def describe(self) -> dict[str, Any]:
        """Return the memory in use, and the CPU share and traffic rates.

        The rates cover at most the last two sample intervals.
        """
        first = self._samples[0]
        newest = self._sample()
        seconds = max(newest.at - first.at, 1e-3)
        datagram_bytes = newest.datagram_bytes - first.datagram_bytes
        http_bytes = newest.http_bytes - first.http_bytes
        return {
            'over_s': seconds,
            'cpu_share': (newest.cpu_s - first.cpu_s) / seconds,
            'resident_bytes': read_resident_bytes(),
            'datagram_bytes_per_s': datagram_bytes / seconds,
            'http_body_bytes_per_s': http_bytes / seconds,
        }

    def _sample(self) -> UsageSample:
        return UsageSample(
            self._clock(),
            self._read_cpu(),
            self._count_bytes('datagram'),
            self._count_bytes('http'),
        )

    def _count_bytes(self, kind: str) -> int:
        counts = self._metrics.counts_by_key
        return (
            counts['bytes', f'{kind}_sent']
            + counts['bytes', f'{kind}_received']
        )


def read_resident_bytes() -> int:
    """Return the resident set size of this process in bytes."""
    pages = int(_STATM.read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')
