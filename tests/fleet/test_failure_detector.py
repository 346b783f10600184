"""Tests of the evidence after which a member is suspected."""

import unittest

from jacinthcart.fleet import (
    DetectionParameters,
    FailureDetector,
    Suspicion,
)
from tests.support import ManualClock

_PEER = '10.0.0.2'


class FailureDetectorTests(unittest.TestCase):
    """Own missed pings, helpers and signs of own impairment."""

    def setUp(self) -> None:
        """Create a detector that has pinged a member."""
        self.clock = ManualClock()
        self.changed_at = self.clock() - 10
        self.params = DetectionParameters()
        self.detector = FailureDetector(
            self.clock, lambda _: self.changed_at, self.params
        )

    def test_confirmed_misses_lead_to_a_suspicion(self) -> None:
        """A failure must be known within about two pings."""
        self._miss(2)
        self.detector.record_helper_reply(_PEER, is_reached=False)
        self.assertEqual(
            self.detector.list_suspicions(),
            [Suspicion(_PEER, is_confirmed=True)],
        )

    def test_two_helpers_confirm_a_single_miss(self) -> None:
        """Three members that agree need no second ping."""
        self._miss(1)
        for _ in range(2):
            self.detector.record_helper_reply(_PEER, is_reached=False)
        self.assertTrue(self.detector.list_suspicions())

    def test_helper_that_reaches_the_member_clears_it(self) -> None:
        """Guards against accusing a member because of a one-way link."""
        self._miss(2)
        self.detector.record_helper_reply(_PEER, is_reached=True)
        self.detector.record_helper_reply(_PEER, is_reached=False)
        self.assertEqual(self.detector.list_suspicions(), [])

    def test_misses_without_helpers_need_more_time(self) -> None:
        """All other members may have failed, so it must happen at last."""
        self._miss(2)
        self.assertEqual(self.detector.list_suspicions(), [])
        self.clock.advance(self.params.unconfirmed_s)
        self.assertEqual(
            self.detector.list_suspicions(),
            [Suspicion(_PEER, is_confirmed=False)],
        )

    def test_silent_helpers_lengthen_own_timeouts(self) -> None:
        """A VM that hears no helper either is impaired itself."""
        self._miss(1)
        self.detector.record_helpers_asked(_PEER)
        self.clock.advance(1)
        self.detector.check_overdue()
        self.assertGreater(self.detector.timeout_s, self.params.timeout_s)

    def test_acknowledgements_shorten_timeouts_again(self) -> None:
        """Guards against slow detection long after an impairment."""
        for _ in range(10):
            self.detector.record_impairment()
        for seq in range(self.params.max_penalty):
            self.detector.record_ping(_PEER, seq)
            self.detector.record_ack(_PEER, seq)
        self.assertEqual(self.detector.timeout_s, self.params.timeout_s)

    def test_pause_does_not_count_as_a_miss(self) -> None:
        """Guards against a woken VM that suspects all that it has pinged."""
        self.detector.record_ping(_PEER, 1)
        self.clock.advance(5)
        self.detector.record_pause()
        self.detector.check_overdue()
        self.assertEqual(self.detector.list_missing(), [])

    def test_acknowledgement_read_after_a_pause_is_accepted(self) -> None:
        """Guards against losing the freshness proof that it carries."""
        sent_at = self.clock()
        self.detector.record_ping(_PEER, 1)
        self.clock.advance(5)
        self.detector.record_pause()
        self.detector.check_overdue()
        self.assertEqual(self.detector.record_ack(_PEER, 1), sent_at)

    def test_ping_that_stays_unanswered_after_a_pause_is_missed(self) -> None:
        """Guards against a VM that pauses often and detects nothing."""
        self.detector.record_ping(_PEER, 1)
        self.clock.advance(5)
        self.detector.record_pause()
        self.clock.advance(self.detector.timeout_s + 0.01)
        self.detector.check_overdue()
        self.assertEqual(self.detector.list_missing(), [_PEER])

    def test_evidence_from_before_a_refutation_is_dropped(self) -> None:
        """Guards against a member that is suspected again and again.

        After a data centre had come back, its members were suspected every
        0.3 s because of the pings missed before.
        """
        self._miss(2)
        self.detector.record_helper_reply(_PEER, is_reached=False)
        self.clock.advance(0.1)
        self.changed_at = self.clock()
        self.assertEqual(self.detector.list_suspicions(), [])
        self.detector.record_helper_reply(_PEER, is_reached=False)
        self.assertEqual(self.detector.list_missing(), [])

    def _miss(self, count: int) -> None:
        for seq in range(count):
            self.detector.record_ping(_PEER, seq)
            self.clock.advance(self.params.timeout_s + 0.01)
            self.detector.check_overdue()
