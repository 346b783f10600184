"""Tests of request serving under overload, refusals and missing shards."""

import random
import unittest

from tests.serving.support import Load, QueuedSearcher, Results
from tests.support import create_route, create_searcher, run_in_virtual_time

_SHARDS = tuple(f'shard-{number}' for number in range(10))
_TARGET_S = 0.118
_RATE_PER_S = 60
_DURATION_S = 20
_SERVICE_TIME_S = 0.0165
#: Fraction of the queries that the overloaded shard has the capacity for.
_CAPACITY_FRACTION = 0.5
_SLOTS = 2
#: Fraction of requests that a refusing searcher refuses regardless of load.
_REFUSED_FRACTION = 0.6
#: Extra-send budget: allowed extra sends per request and a fixed allowance.
_EXTRA_RATIO = 0.2
_EXTRA_SLACK = 56
_OVERLOADED_SERVICE_TIME_S = _SLOTS / (_RATE_PER_S * _CAPACITY_FRACTION)


def _create_searchers(
    shard: str,
    *,
    replicas: int = 3,
    service_time_s: float = _SERVICE_TIME_S,
    refusing: int = 0,
) -> list[QueuedSearcher]:
    return [
        QueuedSearcher(
            create_searcher(f'{shard}.{replica}', service=shard, slots=_SLOTS),
            service_time_s,
            random.Random(f'{shard}.{replica}'),
            refused_fraction=_REFUSED_FRACTION if replica < refusing else 0,
        )
        for replica in range(replicas)
    ]


def _create_healthy_searchers(except_shard: str = '') -> list[QueuedSearcher]:
    return [
        searcher
        for shard in _SHARDS
        if shard != except_shard
        for searcher in _create_searchers(shard)
    ]


def _create_overloaded() -> list[QueuedSearcher]:
    shard = _SHARDS[3]
    return _create_healthy_searchers(except_shard=shard) + _create_searchers(
        shard,
        replicas=1,
        service_time_s=_OVERLOADED_SERVICE_TIME_S,
    )


def _create_refusing() -> list[QueuedSearcher]:
    return [
        searcher
        for shard in _SHARDS
        for searcher in _create_searchers(shard, refusing=2)
    ]


async def _simulate(searchers: list[QueuedSearcher]) -> Results:
    route = create_route(
        'a',
        target_s=_TARGET_S,
        shares=(),
        shards=_SHARDS,
        min_shard_fraction=0.89,
        is_public=True,
        top_k=10,
    )
    load = Load(route, searchers)
    await load.run(_RATE_PER_S, _DURATION_S)
    return load.results


async def _simulate_overloaded() -> Results:
    return await _simulate(_create_overloaded())


async def _simulate_healthy() -> Results:
    return await _simulate(_create_healthy_searchers())


async def _simulate_refusing() -> tuple[Results, list[QueuedSearcher]]:
    searchers = _create_refusing()
    return await _simulate(searchers), searchers


class OverloadedShardTests(unittest.TestCase):
    """One shard has one searcher with capacity for half of the queries."""

    def test_overloaded_shard_serves_up_to_its_capacity(self) -> None:
        """Guards against queueing so long that no part arrives in time."""
        results = run_in_virtual_time(_simulate_overloaded)
        complete = results.count_in_time(0, _TARGET_S)
        capacity = results.total * _CAPACITY_FRACTION
        self.assertGreater(complete, 0.5 * capacity)

    def test_queries_are_answered_in_time_without_the_part(self) -> None:
        """A part that can't arrive in time must not delay the answer."""
        results = run_in_virtual_time(_simulate_overloaded)
        in_time = sum(
            results.count_in_time(missing, _TARGET_S) for missing in range(2)
        )
        self.assertGreater(in_time, 0.98 * results.total)

    def test_light_load_gets_complete_answers(self) -> None:
        """Holding back must not drop parts that would arrive in time."""
        results = run_in_virtual_time(_simulate_healthy)
        complete = results.count_in_time(0, _TARGET_S)
        self.assertGreater(complete, 0.98 * results.total)


class RefusingSearchersTests(unittest.TestCase):
    """Two of three searchers of each shard refuse most requests."""

    def test_queries_are_answered_in_time_within_the_budget(self) -> None:
        """Guards against refusals that use up a shard's extra sends."""
        results, searchers = run_in_virtual_time(_simulate_refusing)
        in_time = sum(
            results.count_in_time(missing, _TARGET_S) for missing in range(2)
        )
        self.assertGreater(in_time, 0.98 * results.total)
        for shard in _SHARDS:
            arrivals = sum(
                searcher.arrivals
                for searcher in searchers
                if searcher.searcher.service == shard
            )
            max_arrivals = results.total * (1 + _EXTRA_RATIO) + _EXTRA_SLACK
            self.assertLessEqual(arrivals, max_arrivals)


async def _simulate_unserved() -> tuple[Results, list[QueuedSearcher]]:
    searchers = [
        searcher
        for searcher in _create_healthy_searchers(except_shard=_SHARDS[3])
        if searcher.searcher.service != _SHARDS[4]
    ]
    return await _simulate(searchers), searchers


class UnservedShardsTests(unittest.TestCase):
    """Two shards have no searcher, but only one part may be missing."""

    def test_nothing_is_sent_for_queries_that_cannot_be_answered(self) -> None:
        """Guards against requests that take capacity from other queries."""
        results, searchers = run_in_virtual_time(_simulate_unserved)
        self.assertEqual(results.refused, results.total)
        self.assertEqual(sum(one.arrivals for one in searchers), 0)
