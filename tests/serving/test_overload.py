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
_OVERLOADED_WORK_S = _SLOTS / (_RATE_PER_S * _BORNE_SHARE)


def _create_searchers(overloaded: str) -> list[QueuedSearcher]:
    searchers = []
    for shard in _SHARDS:
        is_overloaded = shard == overloaded
        for replica in range(1 if is_overloaded else 3):
            searcher = create_searcher(
                f'{shard}.{replica}',
                service=shard,
                slots=_SLOTS,
            )
            searchers.append(
                QueuedSearcher(
                    searcher,
                    _OVERLOADED_WORK_S if is_overloaded else _WORK_S,
                    random.Random(searcher.searcher_id),
                ),
            )
    return searchers


async def _play(overloaded: str) -> Results:
    route = create_route(
        'a',
        target_s=_TARGET_S,
        shares=(),
        shards=_SHARDS,
        min_shard_share=0.89,
        is_public=True,
        top_k=10,
    )
    load = Load(route, _create_searchers(overloaded))
    await load.play(_RATE_PER_S, _DURATION_S)
    return load.results


class OverloadedShardTests(unittest.TestCase):
    """One shard has one searcher, which bears half of the queries."""

    def test_shard_gives_its_part_to_as_many_queries_as_it_bears(self) -> None:
        """Otherwise all wait in its queue and none gets the part in time."""
        results = run_in_virtual_time(_play, 'shard-3')
        whole = results.count_in_time(0, _TARGET_S)
        borne = results.total * _BORNE_SHARE
        self.assertGreater(whole, 0.5 * borne)

    def test_queries_are_answered_in_time_without_the_part(self) -> None:
        """A part that can't come must not make the answer late."""
        results = run_in_virtual_time(_play, 'shard-3')
        in_time = sum(
            results.count_in_time(missing, _TARGET_S) for missing in range(2)
        )
        self.assertGreater(in_time, 0.98 * results.total)

    def test_calm_load_is_answered_whole(self) -> None:
        """Holding back must not cost parts that would come in time."""
        results = run_in_virtual_time(_play, '')
        whole = results.count_in_time(0, _TARGET_S)
        self.assertGreater(whole, 0.98 * results.total)
