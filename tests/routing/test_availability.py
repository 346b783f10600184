"""Tests of the statements of searchers about accepting requests."""

import math
import unittest

from jacinthcart.routing._availability import AvailabilityTracker
from tests.support import ManualClock, create_searcher


class LeavingSearcherTests(unittest.TestCase):
    """A process that leaves gets no more requests."""

    def setUp(self) -> None:
        """Create a tracker to which a searcher said that it leaves."""
        self.clock = ManualClock()
        self.tracker = AvailabilityTracker(self.clock)
        self.tracker.record_leaving(create_searcher('one', born=5))

    def test_republished_entry_does_not_bring_the_process_back(self) -> None:
        """Guards against an entry that is older than the statement."""
        again = create_searcher('one', born=5, sequence=9)
        self.assertFalse(self.tracker.may_send(again))
        self.assertEqual(self.tracker.compute_earliest_send(again), math.inf)

    def test_later_process_gets_requests(self) -> None:
        """Guards against excluding a searcher id for good."""
        self.assertTrue(
            self.tracker.may_send(create_searcher('one', born=6)),
        )

    def test_earlier_process_stays_excluded(self) -> None:
        """Guards against a stale copy of the entry of a previous process."""
        self.assertFalse(
            self.tracker.may_send(create_searcher('one', born=4)),
        )

    def test_statement_of_an_earlier_process_is_ignored(self) -> None:
        """A late response must not bring the newer process back."""
        is_new = self.tracker.record_leaving(create_searcher('one', born=4))
        self.assertFalse(is_new)
        self.assertFalse(
            self.tracker.may_send(create_searcher('one', born=5)),
        )

    def test_restart_after_a_backward_clock_step_gets_requests(self) -> None:
        """Guards against excluding a live searcher for good."""
        self.clock.advance(10)
        self.assertTrue(
            self.tracker.may_send(create_searcher('one', born=4)),
        )

    def test_each_process_that_left_stays_excluded(self) -> None:
        """Guards against a stale entry after such a restart."""
        self.clock.advance(10)
        restarted = create_searcher('one', born=4)
        self.assertTrue(self.tracker.record_leaving(restarted))
        self.clock.advance(100)
        for born in (4, 5):
            with self.subTest(born=born):
                searcher = create_searcher('one', born=born)
                self.assertFalse(self.tracker.may_send(searcher))

    def test_number_of_remembered_processes_is_bounded(self) -> None:
        """Guards against memory that grows with every restart."""
        for born in range(100):
            self.tracker.record_leaving(create_searcher('one', born=born))
            self.clock.advance(20)
        remembered = self.tracker._leaving_at_by_born_by_id['one']
        self.assertLess(len(remembered), 100)
        last = create_searcher('one', born=99)
        self.assertFalse(self.tracker.may_send(last))

    def test_number_of_remembered_searchers_is_bounded(self) -> None:
        """Guards against memory that grows with every replaced searcher."""
        for number in range(10_000):
            self.tracker.record_leaving(create_searcher(f'other-{number}'))
        self.assertLess(len(self.tracker._leaving_at_by_born_by_id), 10_000)
        self.assertFalse(
            self.tracker.may_send(create_searcher('other-9999')),
        )


class RetryAfterTests(unittest.TestCase):
    """A searcher that named a delay gets no request before its end."""

    def setUp(self) -> None:
        """Create a tracker and a searcher."""
        self.clock = ManualClock()
        self.tracker = AvailabilityTracker(self.clock)
        self.searcher = create_searcher('one')

    def test_nothing_is_sent_until_the_delay_has_passed(self) -> None:
        """Guards against sends into a period in which they are rejected."""
        self.tracker.record_retry_after(self.searcher, 2)
        self.clock.advance(1.99)
        self.assertFalse(self.tracker.may_send(self.searcher))
        self.clock.advance(0.02)
        self.assertTrue(self.tracker.may_send(self.searcher))

    def test_shorter_delay_does_not_end_a_longer_one(self) -> None:
        """Responses may arrive in another order than they were sent."""
        self.tracker.record_retry_after(self.searcher, 5)
        self.tracker.record_retry_after(self.searcher, 0.1)
        self.clock.advance(4)
        self.assertFalse(self.tracker.may_send(self.searcher))

    def test_huge_delay_is_bounded(self) -> None:
        """Guards against losing a searcher because of one faulty value."""
        self.tracker.record_retry_after(self.searcher, math.inf)
        self.clock.advance(301)
        self.assertTrue(self.tracker.may_send(self.searcher))

    def test_delay_applies_to_one_process(self) -> None:
        """A restarted searcher has not asked for anything."""
        self.tracker.record_retry_after(self.searcher, 60)
        again = create_searcher('one', born=2)
        self.assertTrue(self.tracker.may_send(again))

    def test_expired_delays_are_dropped(self) -> None:
        """Guards against memory that grows with every rejection."""
        self.tracker.record_retry_after(self.searcher, 1)
        self.clock.advance(2)
        self.tracker.remove_expired()
        self.assertFalse(self.tracker._resume_at_by_process)
