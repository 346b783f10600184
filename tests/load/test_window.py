"""Tests of the check of rate and burst."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.load import find_excess, find_rate_violations
from tests.load.samples import make_result

SPANS = st.lists(
    st.tuples(st.integers(0, 40), st.integers(0, 10)).map(
        lambda pair: (pair[0] / 8, (pair[0] + pair[1]) / 8),
    ),
    min_size=1,
    max_size=25,
)


def find_by_force(
    spans: list[tuple[float, float]],
    rate: float,
    burst: float,
) -> float:
    """Return the maximum excess by exhaustive search of all windows."""
    return max(
        sum(start <= sent and done <= end for sent, done in spans)
        - rate * (end - start)
        - burst
        for start, _ in spans
        for _, end in spans
        if start <= end
    )


class FindExcessTest(unittest.TestCase):
    """The check reports every certain excess and no other."""

    @settings(derandomize=True, deadline=None)
    @given(SPANS, st.integers(1, 8), st.integers(1, 4))
    def test_equals_search_over_all_windows(self, spans, rate, burst) -> None:
        """Guards against windows that the fast search skips or invents."""
        expected = find_by_force(spans, rate, burst)
        found = find_excess(spans, rate, burst)
        if expected <= 0:
            self.assertIsNone(found)
        else:
            self.assertAlmostEqual(found.amount, expected)

    def test_slow_answers_show_no_excess(self) -> None:
        """Guards against a false positive.

        A request may be admitted at any time between sending and answer.
        """
        spans = [(0.0, 2.0) for _ in range(9)]
        self.assertIsNone(find_excess(spans, 2, 5))
        spans.append((0.0, 2.0))
        self.assertEqual(find_excess(spans, 2, 5).amount, 1)

    def test_violation_names_the_workspace(self) -> None:
        """Guards against an unreported excess."""
        results = [make_result(number) for number in range(6)]
        self.assertEqual(find_rate_violations(results[:5]), [])
        violation = find_rate_violations(results)[0]
        self.assertIn('team/one', violation.detail)
