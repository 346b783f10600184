"""Tests of serving with load reports of searchers."""

import dataclasses
import functools
import itertools
import random
import statistics
import unittest

import anyio

from jacinthcart.routing import SearcherResponse
from tests.serving.support import Load, QueuedSearcher, create_shard_route
from tests.support import create_searcher, run_in_virtual_time

_SHARDS = tuple(f'shard-{number}' for number in range(8))
_REPLICAS = 3
_SLOTS = 2
_TARGET_S = 0.118
_RATE_PER_S = 60
_DURATION_S = 10
_SERVICE_TIME_S = 0.0165
_MACHINES = 7
_SLOWDOWN = 2.5
#: Seconds for which the same machine is slow.
_SLOW_PERIOD_S = 0.6


class _Machines:
    """Machines of which one is slow at any time."""

    def __init__(self) -> None:
        """Draw the slow machine of each period."""
        periods = int(2 * _DURATION_S / _SLOW_PERIOD_S)
        self._slow_by_period = random.Random(5).choices(
            range(_MACHINES), k=periods
        )

    def compute_slowdown(self, machine: int) -> float:
        """Return the present slowdown of a machine."""
        period = int(anyio.current_time() / _SLOW_PERIOD_S)
        is_slow = self._slow_by_period[period] == machine
        return _SLOWDOWN if is_slow else 1


class _MalformedReportSearcher(QueuedSearcher):
    """Searcher whose load reports can't be used."""

    async def answer(self) -> SearcherResponse:
        """Answer with a malformed report."""
        response = await super().answer()
        return dataclasses.replace(response, load=None, has_malformed_load=True)


async def _simulate_slow_machines(reports_slowdown: bool) -> Load:
    machines = _Machines()
    replicas = itertools.product(_SHARDS, range(_REPLICAS))
    searchers = [
        QueuedSearcher(
            create_searcher(f'{shard}.{replica}', service=shard, slots=_SLOTS),
            _SERVICE_TIME_S,
            random.Random(f'{shard}.{replica}'),
            compute_slowdown=functools.partial(
                machines.compute_slowdown, number % _MACHINES
            ),
            reports_slowdown=reports_slowdown,
        )
        for number, (shard, replica) in enumerate(replicas)
    ]
    load = Load(
        create_shard_route(target_s=_TARGET_S, shards=_SHARDS),
        searchers,
        arrival_source=random.Random(11),
    )
    await load.run(_RATE_PER_S, _DURATION_S)
    return load


async def _simulate_malformed_reports() -> tuple[Load, QueuedSearcher]:
    searcher = _MalformedReportSearcher(
        create_searcher('i-1'), _SERVICE_TIME_S, random.Random(1)
    )
    load = Load(create_shard_route(), [searcher])
    await load.run(_RATE_PER_S, 1)
    return load, searcher


class SlowMachinesTests(unittest.TestCase):
    """Each machine is slow for 600 ms at a time."""

    def test_queries_are_faster_with_reported_slowdowns(self) -> None:
        """Guards against sends to machines that have reported a slowdown."""
        loads = [
            run_in_virtual_time(_simulate_slow_machines, is_reported)
            for is_reported in (True, False)
        ]
        means_s = [
            statistics.mean(load.results.latencies_by_missing[0])
            for load in loads
        ]
        self.assertLess(*means_s)
        for load in loads:
            complete = len(load.results.latencies_by_missing[0])
            self.assertEqual(load.results.total, complete)


class ReportMetricsTests(unittest.TestCase):
    """Metrics of load reports and of the predictions based on them."""

    def test_malformed_reports_are_counted_and_predictions_recorded(
        self,
    ) -> None:
        """Guards against searchers whose reports go unused unnoticed."""
        load, searcher = run_in_virtual_time(_simulate_malformed_reports)
        malformed = load.metrics.counts_by_key['searcher', 'malformed_load']
        self.assertEqual(malformed, searcher.arrivals)
        ratio = load.metrics.quantile_ratio(('prediction', 'a'), 0.5)
        self.assertGreater(ratio, 0.5)
        self.assertLess(ratio, 2)
