"""Tests of the order in which waiting queries are admitted."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.overload import WaitingQueries, WaitingQuery

_SHARDS = ('shard-0', 'shard-1')
_RANKS = st.integers(0, 5)
_TIMES_S = st.floats(0, 10)


class WaitingQueriesTests(unittest.TestCase):
    """Two waiting queries that are alike in all but one respect."""

    @settings(derandomize=True)
    @given(
        _RANKS,
        st.lists(_TIMES_S, min_size=2, max_size=2, unique=True),
        st.booleans(),
    )
    def test_least_time_left_is_admitted_first(
        self,
        rank: int,
        latest_starts: list[float],
        is_reversed: bool,
    ) -> None:
        """Guards against queries that become late behind patient ones."""
        queries = [
            WaitingQuery(rank, latest_start)
            for latest_start in sorted(latest_starts)
        ]
        self._check_order(queries, is_reversed)

    @settings(derandomize=True)
    @given(st.floats(0, 1), st.integers(1, 60))
    def test_draws_admit_the_given_fraction(
        self, fraction: float, draws: int
    ) -> None:
        """Guards against more admissions than the bands allow."""
        waiting = WaitingQueries(random.Random(1))
        queries = [WaitingQuery(0, number) for number in range(draws)]
        for query in queries:
            waiting.add(_SHARDS, query)
            waiting.draw(_SHARDS, 0, fraction)
        admitted = sum(query.is_admitted for query in queries)
        self.assertLessEqual(abs(admitted - fraction * draws), 1 + 1e-6)

    @settings(derandomize=True)
    @given(st.lists(_RANKS, min_size=2, max_size=2, unique=True))
    def test_draws_of_one_rank_admit_no_other(self, ranks: list[int]) -> None:
        """Guards against a rank that takes all admissions of the others.

        The bands prefer the more urgent rank. If it also got what the bands
        leave to the others, these would starve.
        """
        waiting = WaitingQueries(random.Random(1))
        queries = [WaitingQuery(rank, 1) for rank in ranks]
        for query in queries:
            waiting.add(_SHARDS, query)
        waiting.draw(_SHARDS, ranks[1], 1)
        self.assertEqual(
            [query.is_admitted for query in queries], [False, True]
        )

    def test_other_shards_are_not_admitted(self) -> None:
        """Guards against admissions that idle searchers' queries use up."""
        waiting = WaitingQueries(random.Random(1))
        query, other = WaitingQuery(1, 5), WaitingQuery(0, 1)
        waiting.add(_SHARDS, query)
        waiting.add(('shard-2',), other)
        waiting.draw(_SHARDS, 1, 1)
        self.assertTrue(query.is_admitted)
        self.assertFalse(other.is_admitted)

    def _check_order(
        self, queries: list[WaitingQuery], is_reversed: bool
    ) -> None:
        waiting = WaitingQueries(random.Random(1))
        for query in reversed(queries) if is_reversed else queries:
            waiting.add(_SHARDS, query)
        for admitted in (1, 2):
            waiting.draw(_SHARDS, queries[0].rank, 1)
            self.assertEqual(
                [query.is_admitted for query in queries],
                [True, admitted > 1],
            )
