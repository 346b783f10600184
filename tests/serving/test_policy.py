"""Tests of when to answer without missing parts, and of the merge."""

import unittest

from jacinthcart.serving import AnswerPolicy, HoldPolicy, merge_records


class AnswerPolicyTests(unittest.TestCase):
    """All parts until the target, enough parts after it."""

    def setUp(self) -> None:
        """Ten shards, of which 89 in a hundred must be in."""
        self.policy = AnswerPolicy(10, 0.89, answer_at=5)

    def test_missing_part_is_waited_for_until_the_target(self) -> None:
        """Each missing part costs, an early answer brings nothing."""
        self.assertFalse(self.policy.should_answer(9, 0, 4.9))
        self.assertTrue(self.policy.should_answer(9, 0, 5))

    def test_answer_leaves_early_when_nothing_can_come(self) -> None:
        """A shard that failed for good is not waited for."""
        self.assertTrue(self.policy.should_answer(9, 1, 1))

    def test_too_few_parts_are_never_an_answer(self) -> None:
        """The share that must be in holds also late."""
        self.assertFalse(self.policy.should_answer(8, 2, 9))
        self.assertTrue(self.policy.is_hopeless(2))
        self.assertFalse(self.policy.is_hopeless(1))

    def test_exact_share_is_enough(self) -> None:
        """Rounding must not ask for one part more."""
        self.assertEqual(AnswerPolicy(20, 0.95, 0).least_parts, 19)
        self.assertEqual(AnswerPolicy(20, 0.85, 0).least_parts, 17)


class HoldPolicyTests(unittest.TestCase):
    """Parts that would come too late are held back while they may miss."""

    def setUp(self) -> None:
        """One part may be missing, the answer leaves at second 5."""
        self.policy = HoldPolicy(1, answer_at=5)

    def test_late_part_is_held_until_it_can_come_in_time(self) -> None:
        """A queue that is too long gets nothing that it makes late."""
        self.assertTrue(self.policy.should_hold('a', 1, 0.2, 4.9))
        self.assertFalse(self.policy.should_hold('a', 1, 0.05, 4.9))

    def test_first_request_of_a_vm_is_never_held(self) -> None:
        """Only an answer shows that the searcher has recovered."""
        self.assertFalse(self.policy.should_hold('a', 0, 9, 4))

    def test_parts_that_the_answer_needs_are_sent(self) -> None:
        """A late answer is better than none."""
        self.assertTrue(self.policy.should_hold('a', 1, 9, 4))
        self.assertFalse(self.policy.should_hold('b', 1, 9, 4))
        self.assertFalse(HoldPolicy(0, 5).should_hold('a', 1, 9, 4))

    def test_nothing_is_held_after_the_target(self) -> None:
        """The answer waits for enough parts then."""
        self.assertFalse(self.policy.should_hold('a', 1, 9, 5))


class MergeRecordsTests(unittest.TestCase):
    """The greatest records of all parts, greatest first."""

    def test_merge_is_ordered_and_cut(self) -> None:
        """Records compare byte by byte over all parts."""
        low, mid, high = (bytes([one]) * 16 for one in (1, 5, 250))
        merged = merge_records([low + high, mid], 2)
        self.assertEqual(merged, high + mid)

    def test_equal_records_all_count(self) -> None:
        """Two shards may hold equal records."""
        record = b'r' * 16
        self.assertEqual(merge_records([record, record], 5), record * 2)

    def test_short_remainder_is_no_record(self) -> None:
        """A part may end with fewer than 16 bytes."""
        record = b'r' * 16
        self.assertEqual(merge_records([b'rrrrrrrrrrrrrrrrzz'], 5), record)
