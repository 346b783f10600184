"""Tests of queueing delays from the reports of searchers."""

import unittest

from jacinthcart.catalogue import CatalogueState, Searcher
from jacinthcart.routing import HealthTracker, LoadReport, ServiceTimes
from jacinthcart.routing._availability import AvailabilityTracker
from jacinthcart.routing._queue_delays import QueueDelays
from jacinthcart.telemetry import create_logger
from tests.support import (
    ManualClock,
    create_catalogue,
    create_route,
    create_searcher,
)

_SERVICE = 'shard-0'
_SERVICE_TIME_S = 0.04
_SLOTS = 2
#: A queue of 20 requests on two slots.
_FULL = LoadReport(_SLOTS, 19, _SLOTS, 1.0)
_FULL_DELAY_S = 0.4
_FALSE = LoadReport(1_000_000, 1_000_000, 0, 10_000)


class QueueDelayTests(unittest.TestCase):
    """Delay of a service with three searchers."""

    def setUp(self) -> None:
        """Create searchers that have reported nothing."""
        self.clock = ManualClock()
        self.tracker = HealthTracker(self.clock)
        self.availability = AvailabilityTracker(self.clock)
        service_times = ServiceTimes()
        for _ in range(10):
            service_times.record(
                'a', _SERVICE, _SERVICE_TIME_S, 9, is_queued=False
            )
        state = CatalogueState(self.clock, create_logger('test'))
        state.update_catalogue(create_catalogue(create_route('a')))
        self.searchers = [create_searcher(f'i-{one}') for one in range(3)]
        state.apply_searcher_changes(
            {one.searcher_id: one for one in self.searchers}
        )
        self.delays = QueueDelays(
            state, self.tracker, self.availability, service_times, self.clock
        )

    def test_best_searcher_decides(self) -> None:
        """Guards against one full searcher, or report, that closes a shard."""
        self._report(self.searchers, _FULL)
        self.assertAlmostEqual(self._estimate_s(), _FULL_DELAY_S)
        self._report(self.searchers[:1], LoadReport(0, 0, _SLOTS, 1.0))
        self.assertEqual(self._estimate_s(), 0)

    def test_reported_requests_below_the_slots_are_no_queue(self) -> None:
        """Guards against own sends that count as queued beside free slots."""
        self._report(self.searchers, LoadReport(0, 0, _SLOTS, 1.0))
        for searcher in self.searchers:
            health = self.tracker.get_or_create(searcher.process)
            health.started_at_by_attempt[1] = self.clock()
        self.assertEqual(self._estimate_s(), 0)

    def test_unknown_searcher_counts_as_shortly_queued(self) -> None:
        """Guards against a shard that is open, or closed, for want of news."""
        self._report(self.searchers[:1], _FULL)
        self.assertAlmostEqual(self._estimate_s(), _SERVICE_TIME_S / 2)

    def test_searchers_that_asked_to_wait_are_no_free_capacity(self) -> None:
        """Guards against a gate that opens as the last searcher refuses."""
        self._report(self.searchers, _FULL)
        for searcher in self.searchers:
            self.availability.record_retry_after(searcher, 2)
        self.assertAlmostEqual(self._estimate_s(), 2)

    def test_reports_fade_so_that_requests_are_sent_again(self) -> None:
        """Guards against a shard that stays closed without new reports."""
        self._report(self.searchers, _FULL)
        self.clock.advance(5)
        self.assertEqual(self._estimate_s(), 0)

    def test_false_report_fades_within_seconds(self) -> None:
        """Guards against a cap that applies after the decay."""
        self._report(self.searchers, _FALSE)
        self.clock.advance(1)
        self.assertLess(self._estimate_s(), 0.5)

    def test_reports_without_slowdown_show_no_delay(self) -> None:
        """Guards against control of searchers that report too little."""
        self._report(self.searchers, LoadReport(_SLOTS, 19, _SLOTS, None))
        self.assertEqual(self._estimate_s(), 0)

    def _report(self, searchers: list[Searcher], report: LoadReport) -> None:
        for searcher in searchers:
            health = self.tracker.get_or_create(searcher.process)
            self.tracker.record_load(health, report)

    def _estimate_s(self) -> float:
        return self.delays.estimate_s(_SERVICE)
