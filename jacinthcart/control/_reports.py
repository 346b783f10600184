"""Reports of all programs of this VM for the administration API."""

import collections
import dataclasses
from typing import Any

import anyio
from hdrh.histogram import HdrHistogram

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.settings import ProcessSettings
from jacinthcart.telemetry import DecisionLog, Metrics, create_histogram
from jacinthcart.wire import ConnectionPool, decode_json

_TIMEOUT_S = 1.0
_MICROSECONDS_PER_MS = 1000
_PERCENTILES = (50, 95, 99, 99.9)


class ReportCollector:
    """Collects the reports of entry and gather and adds that of control."""

    def __init__(
        self,
        process: ProcessSettings,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        """Create a collector whose connections are opened on demand."""
        self._metrics = metrics
        self._decisions = decisions
        self._pool_by_program = {
            'entry': ConnectionPool(process.address, process.entry_port, 1),
            'gather': ConnectionPool(process.address, process.gather_port, 1),
        }

    async def close(self) -> None:
        """Close the connections."""
        for pool in self._pool_by_program.values():
            await pool.close()

    async def collect(self) -> dict[str, dict[str, Any]]:
        """Return the available reports by program name."""
        reports = {'control': self._create_own_report()}
        async with anyio.create_task_group() as tasks:
            for program in self._pool_by_program:
                tasks.start_soon(self._query, program, reports)
        return reports

    def _create_own_report(self) -> dict[str, Any]:
        return {
            'metrics': self._metrics.export(),
            'decisions': [
                dataclasses.asdict(decision)
                for decision in self._decisions.list_newest()
            ],
            'set_aside': {},
        }

    async def _query(
        self,
        program: str,
        reports: dict[str, dict[str, Any]],
    ) -> None:
        try:
            report = await self._call(program)
        except (WireError, TimeoutError, InvalidMessageError):
            self._metrics.count('report', 'failed', program)
            return
        reports[program] = report

    async def _call(self, program: str) -> dict[str, Any]:
        response = await self._pool_by_program[program].call(
            'GET',
            '/v1/report',
            timeout_s=_TIMEOUT_S,
        )
        report = decode_json(response.body)
        if not response.is_success or not isinstance(report, dict):
            raise InvalidMessageError('report response is invalid')
        return report


def merge_decisions(
    reports: dict[str, dict[str, Any]],
) -> list[dict[str, Any]]:
    """Return the decisions of all programs in chronological order."""
    decisions = [
        {'program': program, **decision}
        for program, report in reports.items()
        for decision in report.get('decisions', [])
    ]
    return sorted(decisions, key=lambda decision: float(decision['at']))


def merge_metrics(reports: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return histograms and counters, summed over all programs by key."""
    exports = [report.get('metrics', {}) for report in reports.values()]
    histograms = _add_histograms(exports)
    return {
        'programs': sorted(reports),
        'histograms': {
            key: _describe_histogram(histogram)
            for key, histogram in histograms.items()
        },
        'counters': _add_counters(exports),
    }


def _add_counters(exports: list[dict[str, Any]]) -> dict[str, int]:
    added: collections.Counter[str] = collections.Counter()
    for exported in exports:
        added.update(exported.get('counters', {}))
    return added


def _add_histograms(exports: list[dict[str, Any]]) -> dict[str, Any]:
    added: dict[str, Any] = {}
    for exported in exports:
        for key, encoded in exported.get('histograms', {}).items():
            total = added.setdefault(key, create_histogram())
            total.add(HdrHistogram.decode(encoded))
    return added


def _describe_histogram(histogram: Any) -> dict[str, Any]:
    quantiles = {
        f'p{percentile:g}_ms': histogram.get_value_at_percentile(percentile)
        / _MICROSECONDS_PER_MS
        for percentile in _PERCENTILES
    }
    return {
        'count': histogram.get_total_count(),
        'max_ms': histogram.get_max_value() / _MICROSECONDS_PER_MS,
        **quantiles,
        'encoded': histogram.encode().decode(),
    }
