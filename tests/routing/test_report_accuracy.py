"""Tests of the comparison of load reports with latencies."""

import unittest

from jacinthcart.routing import HealthTracker, LoadReport
from jacinthcart.routing._cost import (
    estimate_queue_delay_s,
    estimate_reported_latency_s,
)
from jacinthcart.routing._report_accuracy import ReportAccuracy
from tests.support import ManualClock

_SERVICE_TIME_S = 0.04
_SLOTS = 4


class ReportAccuracyTests(unittest.TestCase):
    """Credibility of the reports of one searcher."""

    def setUp(self) -> None:
        """Create a searcher without observations."""
        self.clock = ManualClock()
        self.tracker = HealthTracker(self.clock)
        self.health = self.tracker.get_or_create(('i-1', 1))
        self.accuracy = self.health.report_accuracy

    def test_reports_are_credible_while_a_queue_grows(self) -> None:
        """Guards against a gate that opens as an overload begins.

        A report is as much ahead of the latency as the queue grows within
        it: at four times the capacity by three service times in each.
        """
        for queued in (0, 4, 12, 24, 24, 24, 12, 0, 0):
            latency_s = _SERVICE_TIME_S * (1 + max(0, queued - 12) / _SLOTS)
            self._record(LoadReport(_SLOTS, queued, _SLOTS, 1), latency_s)
            self.assertTrue(self.accuracy.is_credible)

    def test_slow_machines_are_credible(self) -> None:
        """Guards against ignoring the reports that matter most."""
        for slowdown in (1, 3, 12, 12, 1):
            self._record(
                LoadReport(1, 0, _SLOTS, slowdown), _SERVICE_TIME_S * slowdown
            )
            self.assertTrue(self.accuracy.is_credible)

    def test_contradicted_reports_have_no_effect(self) -> None:
        """Guards against false reports that empty a searcher for seconds."""
        self._record(LoadReport(900, 900, 9, 900), _SERVICE_TIME_S)
        self.assertFalse(self.accuracy.is_credible)
        self.assertEqual(self.health.compute_slowdown(self.clock()), 1)
        self.assertEqual(self._estimate_delay_s(), 0)

    def test_false_reports_of_no_load_are_contradicted(self) -> None:
        """Guards against a searcher that attracts requests to its queue."""
        for _ in range(10):
            self._record(LoadReport(0, 0, _SLOTS, 0.01), 5 * _SERVICE_TIME_S)
        self.assertFalse(self.accuracy.is_credible)

    def test_correct_reports_become_credible_again(self) -> None:
        """Guards against a searcher that is disregarded for good."""
        self._record(LoadReport(900, 900, 9, 900), _SERVICE_TIME_S)
        report = LoadReport(_SLOTS, 8, _SLOTS, 1)
        for _ in range(10):
            self._record(report, 3 * _SERVICE_TIME_S)
        self.assertTrue(self.accuracy.is_credible)
        self.assertGreater(self._estimate_delay_s(), _SERVICE_TIME_S)

    def test_searchers_slower_than_others_stay_credible(self) -> None:
        """Guards against blaming reports for what they don't cause."""
        accuracy = ReportAccuracy()
        for _ in range(20):
            accuracy.record(1.0, _SERVICE_TIME_S, _SERVICE_TIME_S)
        self.assertTrue(accuracy.is_credible)

    def _record(self, report: LoadReport, latency_s: float) -> None:
        self.tracker.record_load(self.health, report)
        self.accuracy.record(
            latency_s,
            estimate_reported_latency_s(
                self.health,
                report,
                service_time_s=_SERVICE_TIME_S,
                mean_service_time_s=_SERVICE_TIME_S,
                slots=_SLOTS,
            ),
            _SERVICE_TIME_S,
        )

    def _estimate_delay_s(self) -> float:
        return estimate_queue_delay_s(
            self.health,
            now=self.clock(),
            service_time_s=_SERVICE_TIME_S,
            slots=_SLOTS,
        )
