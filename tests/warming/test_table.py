"""Tests of merging warm table entries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.feed import WarmEntry
from jacinthcart.warming import merge_warm_entries, merge_warm_entry

ENTRIES = st.builds(
    WarmEntry,
    incident=st.integers(0, 3),
    warm=st.booleans(),
    generation=st.sampled_from(['g1', 'g2', 'g3']),
)


class MergeTest(unittest.TestCase):
    """Merging gives every VM the same entry, warm only if that is safe."""

    @settings(derandomize=True, deadline=None)
    @given(ENTRIES, ENTRIES, ENTRIES)
    def test_order_and_repeats_do_not_matter(
        self, first: WarmEntry, second: WarmEntry, third: WarmEntry
    ) -> None:
        """Guards against a repeated datagram making a searcher warm."""
        merged = merge_warm_entry(merge_warm_entry(first, second), third)
        self.assertEqual(
            merged,
            merge_warm_entry(third, merge_warm_entry(second, first)),
        )
        self.assertEqual(merged, merge_warm_entry(merged, second))

    def test_higher_incident_wins_over_warm(self) -> None:
        """Guards against an old warm entry hiding a cold start."""
        merged = merge_warm_entries(
            {'s0': WarmEntry(1, True, 'g1')},
            {'s0': WarmEntry(2, False, 'g2'), 's1': WarmEntry(1, True, 'g')},
        )
        self.assertEqual(merged['s0'], WarmEntry(2, False, 'g2'))
        self.assertEqual(merged['s1'], WarmEntry(1, True, 'g'))

    def test_warm_wins_within_one_incident_and_generation(self) -> None:
        """Guards against a late message undoing the warmer's ramp."""
        cold, warm = WarmEntry(1, False, 'g'), WarmEntry(1, True, 'g')
        self.assertTrue(merge_warm_entry(cold, warm).warm)

    def test_two_generations_of_one_incident_are_not_warm(self) -> None:
        """Guards against full load on an instance that was not warmed."""
        first, second = WarmEntry(1, True, 'g1'), WarmEntry(1, True, 'g2')
        self.assertFalse(merge_warm_entry(first, second).warm)
