"""Tests of the answer and hold policies and of merging records."""

import unittest

from jacinthcart.serving import AnswerPolicy, HoldPolicy, merge_records


class AnswerPolicyTests(unittest.TestCase):
    """A query waits for all parts until the target, then for enough."""

    def setUp(self) -> None:
        """Create a policy for ten shards, 89% of which are required."""
        self.policy = AnswerPolicy(10, 0.89, answer_at=5)

    def test_missing_part_is_waited_for_until_the_target(self) -> None:
        """Guards against missing parts in answers ahead of the target.

        They lower the value of an answer; an early answer does not raise it.
        """
        self.assertFalse(self.policy.should_answer(9, 0, 4.9))
        self.assertTrue(self.policy.should_answer(9, 0, 5))

    def test_answer_is_sent_early_when_no_more_parts_can_arrive(self) -> None:
        """A shard that has finally failed is not waited for."""
        self.assertTrue(self.policy.should_answer(9, 1, 1))

    def test_too_few_parts_are_never_an_answer(self) -> None:
        """The required fraction also applies after the target."""
        self.assertFalse(self.policy.should_answer(8, 2, 9))
        self.assertTrue(self.policy.is_unanswerable(2))
        self.assertFalse(self.policy.is_unanswerable(1))

    def test_exact_share_is_enough(self) -> None:
        """Guards against a floating-point error that requires another part."""
        self.assertEqual(AnswerPolicy(20, 0.95, 0).min_parts, 19)
        self.assertEqual(AnswerPolicy(20, 0.85, 0).min_parts, 17)


class HoldPolicyTests(unittest.TestCase):
    """Requests for optional parts that would be late are held back."""

    def setUp(self) -> None:
        """Create a policy with one optional part and the target at 5 s."""
        self.policy = HoldPolicy(1, answer_at=5)

    def test_late_part_is_held_back_until_it_can_arrive_in_time(self) -> None:
        """A request is held back while the queue would make it late."""
        self.assertTrue(self.policy.should_hold('a', 1, 0.2, 4.9))
        self.assertFalse(self.policy.should_hold('a', 1, 0.05, 4.9))

    def test_first_request_of_a_vm_is_never_held_back(self) -> None:
        """Only a response shows that a searcher has recovered."""
        self.assertFalse(self.policy.should_hold('a', 0, 9, 4))

    def test_parts_that_the_answer_needs_are_sent(self) -> None:
        """A late answer is better than none."""
        self.assertTrue(self.policy.should_hold('a', 1, 9, 4))
        self.assertFalse(self.policy.should_hold('b', 1, 9, 4))
        self.assertFalse(HoldPolicy(0, 5).should_hold('a', 1, 9, 4))

    def test_nothing_is_held_back_after_the_target(self) -> None:
        """After the target the answer only waits for enough parts."""
        self.assertFalse(self.policy.should_hold('a', 1, 9, 5))


class MergeRecordsTests(unittest.TestCase):
    """Merging keeps the greatest records, in descending order."""

    def test_merged_records_are_ordered_and_limited(self) -> None:
        """Records of all parts are compared as byte strings."""
        low, mid, high = (bytes([one]) * 16 for one in (1, 5, 250))
        merged = merge_records([low + high, mid], 2)
        self.assertEqual(merged, high + mid)

    def test_equal_records_are_all_kept(self) -> None:
        """Guards against dropping equal records of two shards."""
        record = b'r' * 16
        self.assertEqual(merge_records([record, record], 5), record * 2)

    def test_short_remainder_is_no_record(self) -> None:
        """Guards against merging a last record of fewer than 16 bytes."""
        record = b'r' * 16
        self.assertEqual(merge_records([b'rrrrrrrrrrrrrrrrzz'], 5), record)
