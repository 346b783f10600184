"""Tests of the order in which waiting queries are admitted."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.overload import WaitingQueries, WaitingQuery

_SHARDS = ('shard-0', 'shard-1')
_PRIORITIES = st.integers(0, 5)
_TIMES_S = st.floats(0, 10)


class WaitingQueriesTests(unittest.TestCase):
    """Two waiting queries that are alike in all but one respect."""

    @settings(derandomize=True)
    @given(
        st.lists(_PRIORITIES, min_size=2, max_size=2, unique=True),
        _TIMES_S,
        st.booleans(),
        _PRIORITIES,
    )
    def test_more_urgent_priority_is_admitted_first(
        self,
        priorities: list[int],
        latest_start: float,
        is_reversed: bool,
        drawn: int,
    ) -> None:
        """Guards against urgent queries behind less urgent ones."""
        queries = [
            WaitingQuery(priority, latest_start)
            for priority in sorted(priorities)
        ]
        self._check_order(queries, is_reversed, drawn)

    @settings(derandomize=True)
    @given(
        _PRIORITIES,
        st.lists(_TIMES_S, min_size=2, max_size=2, unique=True),
        st.booleans(),
        _PRIORITIES,
    )
    def test_least_time_left_is_admitted_first(
        self,
        priority: int,
        latest_starts: list[float],
        is_reversed: bool,
        drawn: int,
    ) -> None:
        """Guards against queries that become late behind patient ones."""
        queries = [
            WaitingQuery(priority, latest_start)
            for latest_start in sorted(latest_starts)
        ]
        self._check_order(queries, is_reversed, drawn)

    @settings(derandomize=True)
    @given(st.floats(0, 1), st.integers(1, 60))
    def test_draws_admit_the_given_fraction(
        self, fraction: float, draws: int
    ) -> None:
        """Guards against more admissions than the bands allow."""
        waiting = WaitingQueries()
        queries = [WaitingQuery(0, number) for number in range(draws)]
        for query in queries:
            waiting.add(_SHARDS, query)
            waiting.draw(_SHARDS, 0, fraction)
        admitted = sum(query.is_admitted for query in queries)
        self.assertLessEqual(abs(admitted - fraction * draws), 1 + 1e-6)

    def test_other_shards_are_not_admitted(self) -> None:
        """Guards against admissions that idle searchers' queries use up."""
        waiting = WaitingQueries()
        query, other = WaitingQuery(1, 5), WaitingQuery(0, 1)
        waiting.add(_SHARDS, query)
        waiting.add(('shard-2',), other)
        waiting.draw(_SHARDS, 1, 1)
        self.assertTrue(query.is_admitted)
        self.assertFalse(other.is_admitted)

    def _check_order(
        self, queries: list[WaitingQuery], is_reversed: bool, drawn: int
    ) -> None:
        waiting = WaitingQueries()
        for query in reversed(queries) if is_reversed else queries:
            waiting.add(_SHARDS, query)
        for admitted in (1, 2):
            waiting.draw(_SHARDS, drawn, 1)
            self.assertEqual(
                [query.is_admitted for query in queries],
                [True, admitted > 1],
            )
