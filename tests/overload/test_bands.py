"""Tests of the fraction of queries that is admitted at a delay."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.overload import (
    AdmissionBands,
    BandParameters,
    compute_slack_s,
)
from tests.support import create_route

#: No kind of query is served less than a quarter as often as all.
_MIN_RELATIVE_FRACTION = 0.25
_SLACKS_S = st.floats(0, 3)
_DELAYS_S = st.floats(-0.1, 10)
_RANKS = st.integers(1, 5)


class BandTests(unittest.TestCase):
    """Bands of several ranks of urgency."""

    @settings(derandomize=True)
    @given(_SLACKS_S, _RANKS, _DELAYS_S)
    def test_urgent_ranks_are_never_admitted_less(
        self, slack_s: float, ranks: int, delay_s: float
    ) -> None:
        """Guards against urgent queries refused in favour of others."""
        fractions = _list_fractions(slack_s, ranks, delay_s)
        self.assertEqual(fractions, sorted(fractions, reverse=True))
        self.assertTrue(all(0 <= one <= 1 for one in fractions))

    @settings(derandomize=True)
    @given(_SLACKS_S, _RANKS, st.tuples(_DELAYS_S, _DELAYS_S))
    def test_longer_delay_never_admits_more(
        self, slack_s: float, ranks: int, delays_s: tuple[float, ...]
    ) -> None:
        """Guards against a band that opens as the queue grows."""
        shorter, longer = (
            _list_fractions(slack_s, ranks, delay_s)
            for delay_s in sorted(delays_s)
        )
        for at_shorter, at_longer in zip(shorter, longer, strict=True):
            self.assertGreaterEqual(at_shorter, at_longer)

    @settings(derandomize=True)
    @given(_SLACKS_S, _RANKS, _DELAYS_S)
    def test_no_rank_starves_beside_the_next_more_urgent(
        self, slack_s: float, ranks: int, delay_s: float
    ) -> None:
        """Guards against a rank that is refused while others pass."""
        fractions = _list_fractions(slack_s, ranks, delay_s)
        for more_urgent, less_urgent in itertools.pairwise(fractions):
            self.assertGreaterEqual(
                less_urgent, more_urgent * _MIN_RELATIVE_FRACTION
            )

    @settings(derandomize=True)
    @given(_SLACKS_S, _RANKS, _DELAYS_S)
    def test_less_urgent_ranks_only_keep_the_floor_while_others_wait(
        self, slack_s: float, ranks: int, delay_s: float
    ) -> None:
        """Guards against urgent queries behind less urgent ones.

        While some queries of a rank have to wait, those of the next less
        urgent rank are admitted only as often as none must starve.
        """
        floor = BandParameters().min_relative_fraction
        fractions = _list_fractions(slack_s, ranks, delay_s)
        for more_urgent, less_urgent in itertools.pairwise(fractions):
            if more_urgent < 1:
                self.assertEqual(less_urgent, more_urgent * floor)

    @settings(derandomize=True)
    @given(st.floats(0.01, 3), st.integers(2, 5))
    def test_others_are_at_their_floor_before_the_most_urgent_wait(
        self, slack_s: float, ranks: int
    ) -> None:
        """Guards against urgent queries refused while a queue is levelled."""
        delay_s = slack_s * ranks / (ranks + 1)
        fractions = _list_fractions(slack_s, ranks, delay_s)
        floor = BandParameters().min_relative_fraction
        self.assertEqual(fractions[:2], [1, floor])

    @settings(derandomize=True)
    @given(_SLACKS_S, _RANKS, st.floats(-1, 0))
    def test_everything_is_admitted_without_a_delay(
        self, slack_s: float, ranks: int, delay_s: float
    ) -> None:
        """Guards against refusals at searchers without a queue."""
        fractions = _list_fractions(slack_s, ranks, delay_s)
        self.assertEqual(set(fractions), {1})

    def test_slack_is_never_negative(self) -> None:
        """Guards against bands of a route whose work exceeds its target."""
        route = create_route('a', target_s=0.1)
        params = BandParameters(reserve_s=0.02)
        self.assertAlmostEqual(compute_slack_s(route, 0.05, params), 0.03)
        self.assertEqual(compute_slack_s(route, 0.2, params), 0)


def _list_fractions(slack_s: float, ranks: int, delay_s: float) -> list[float]:
    bands = AdmissionBands(slack_s, ranks, BandParameters())
    return [bands.compute_fraction(rank, delay_s) for rank in range(ranks)]
