"""Plays loads that some searchers can't bear and checks what callers get."""

import random
import unittest

from tests.serving.support import Load, QueuedSearcher, Results
from tests.support import create_route, create_searcher, run_in_virtual_time

_SHARDS = tuple(f'shard-{number}' for number in range(10))
_TARGET_S = 0.118
_RATE_PER_S = 60
_DURATION_S = 20
_WORK_S = 0.0165
#: Share of the queries that the one searcher of the overloaded shard bears.
_BORNE_SHARE = 0.5
_SLOTS = 2
#: Share of the requests that a searcher refuses in vain.
_REFUSED_SHARE = 0.6
#: Extra sends for each request that the users' budget permits, and the
#: number that it permits beyond them.
_EXTRA_RATIO = 0.2
_EXTRA_SLACK = 56
_OVERLOADED_WORK_S = _SLOTS / (_RATE_PER_S * _BORNE_SHARE)


def _create_searchers(
    shard: str,
    *,
    replicas: int = 3,
    work_s: float = _WORK_S,
    refusing: int = 0,
) -> list[QueuedSearcher]:
    return [
        QueuedSearcher(
            create_searcher(f'{shard}.{replica}', service=shard, slots=_SLOTS),
            work_s,
            random.Random(f'{shard}.{replica}'),
            refused_share=_REFUSED_SHARE if replica < refusing else 0,
        )
        for replica in range(replicas)
    ]


def _create_calm_searchers(but: str = '') -> list[QueuedSearcher]:
    return [
        searcher
        for shard in _SHARDS
        if shard != but
        for searcher in _create_searchers(shard)
    ]


def _create_overloaded() -> list[QueuedSearcher]:
    shard = _SHARDS[3]
    return _create_calm_searchers(but=shard) + _create_searchers(
        shard,
        replicas=1,
        work_s=_OVERLOADED_WORK_S,
    )


def _create_refusing() -> list[QueuedSearcher]:
    return [
        searcher
        for shard in _SHARDS
        for searcher in _create_searchers(shard, refusing=2)
    ]


async def _play(searchers: list[QueuedSearcher]) -> Results:
    route = create_route(
        'a',
        target_s=_TARGET_S,
        shares=(),
        shards=_SHARDS,
        min_shard_share=0.89,
        is_public=True,
        top_k=10,
    )
    load = Load(route, searchers)
    await load.play(_RATE_PER_S, _DURATION_S)
    return load.results


async def _play_overloaded() -> Results:
    return await _play(_create_overloaded())


async def _play_calm() -> Results:
    return await _play(_create_calm_searchers())


async def _play_refusing() -> tuple[Results, list[QueuedSearcher]]:
    searchers = _create_refusing()
    return await _play(searchers), searchers


class OverloadedShardTests(unittest.TestCase):
    """One shard has one searcher, which bears half of the queries."""

    def test_shard_gives_its_part_to_as_many_queries_as_it_bears(self) -> None:
        """Otherwise all wait in its queue and none gets the part in time."""
        results = run_in_virtual_time(_play_overloaded)
        whole = results.count_in_time(0, _TARGET_S)
        borne = results.total * _BORNE_SHARE
        self.assertGreater(whole, 0.5 * borne)

    def test_queries_are_answered_in_time_without_the_part(self) -> None:
        """A part that can't come must not make the answer late."""
        results = run_in_virtual_time(_play_overloaded)
        in_time = sum(
            results.count_in_time(missing, _TARGET_S) for missing in range(2)
        )
        self.assertGreater(in_time, 0.98 * results.total)

    def test_calm_load_is_answered_whole(self) -> None:
        """Holding back must not cost parts that would come in time."""
        results = run_in_virtual_time(_play_calm)
        whole = results.count_in_time(0, _TARGET_S)
        self.assertGreater(whole, 0.98 * results.total)


class RefusingSearchersTests(unittest.TestCase):
    """Two of three searchers of each shard refuse most requests."""

    def test_queries_are_whole_and_within_the_budget(self) -> None:
        """Each refusal costs an extra send, which all shards run out of."""
        results, searchers = run_in_virtual_time(_play_refusing)
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
            most = results.total * (1 + _EXTRA_RATIO) + _EXTRA_SLACK
            self.assertLessEqual(arrivals, most)


async def _play_unserved() -> tuple[Results, list[QueuedSearcher]]:
    searchers = [
        searcher
        for searcher in _create_calm_searchers(but=_SHARDS[3])
        if searcher.searcher.service != _SHARDS[4]
    ]
    return await _play(searchers), searchers


class UnservedShardsTests(unittest.TestCase):
    """Two shards have no searcher, and one part may be missing."""

    def test_nothing_is_sent_for_queries_without_hope(self) -> None:
        """Their parts would take room from other queries."""
        results, searchers = run_in_virtual_time(_play_unserved)
        self.assertEqual(results.refused, results.total)
        self.assertEqual(sum(one.arrivals for one in searchers), 0)
