"""Tests of latencies predicted from load reports."""

import unittest

from jacinthcart.routing import HealthTracker, LoadReport
from jacinthcart.routing._cost import estimate_latency_s
from tests.support import ManualClock

_MEDIAN_S = 0.02
_SLOTS = 2
_SLOWDOWN = 2.5
#: Predictions of the version without slowdowns.
_PREDICTED_BEFORE_S = [
    0.0699,
    0.04517006143441751,
    0.06418570967077507,
    0.0394922917112486,
    0.12591127086455683,
    0.10082335861543916,
]
#: Bounds of the effect of a slowdown on an estimate.
_MIN_FACTOR = 0.2
_MAX_FACTOR = 20


class PredictionTests(unittest.TestCase):
    """Predicted latency of one searcher."""

    def setUp(self) -> None:
        """Create a searcher without observations."""
        self.clock = ManualClock()
        self.tracker = HealthTracker(self.clock)
        self.health = self.tracker.get_or_create(('i-1', 1))

    def test_reports_without_slowdown_predict_as_before(self) -> None:
        """Guards against changes for deployments that report no slowdown."""
        predicted_s = []
        for latency_s in (0.031, 0.017, 0.09):
            self._report(None, running=2, waiting=3)
            self._record_latency(latency_s)
            predicted_s.append(self._predict_s())
            self.clock.advance(0.037)
            predicted_s.append(self._predict_s())
        self.assertEqual(predicted_s, _PREDICTED_BEFORE_S)

    def test_slowdown_counts_while_its_report_is_recent(self) -> None:
        """Guards against avoiding a machine that is as usual again."""
        self._report(_SLOWDOWN)
        self.assertAlmostEqual(self._predict_s(), _SLOWDOWN * _MEDIAN_S)
        self.clock.advance(0.3)
        self.assertGreater(self._predict_s(), 1.3 * _MEDIAN_S)
        self.clock.advance(5)
        self.assertAlmostEqual(self._predict_s(), _MEDIAN_S, places=4)

    def test_slowdown_applies_to_the_requests_in_the_queue(self) -> None:
        """A queue of two on two slots takes one slowed service time."""
        self._report(_SLOWDOWN, running=2, waiting=1)
        self.assertAlmostEqual(self._predict_s(), 2 * _SLOWDOWN * _MEDIAN_S)

    def test_slowness_leaves_out_the_slowdown(self) -> None:
        """Guards against counting one delay twice, and for seconds."""
        for _ in range(10):
            self._report(_SLOWDOWN)
            self._record_latency(_SLOWDOWN * _MEDIAN_S)
        self.assertAlmostEqual(self._predict_s(), _SLOWDOWN * _MEDIAN_S)
        self._report(1)
        self.assertAlmostEqual(self._predict_s(), _MEDIAN_S)

    def test_report_without_slowdown_leaves_the_last_one(self) -> None:
        """A malformed figure must not end what is known."""
        self._report(_SLOWDOWN)
        self._report(None)
        self.assertAlmostEqual(self._predict_s(), _SLOWDOWN * _MEDIAN_S)

    def test_false_slowdown_has_a_bounded_effect(self) -> None:
        """Guards against one report that takes a searcher out of use."""
        for slowdown in (0.01, 10_000):
            self._report(slowdown)
            factor = self._predict_s() / _MEDIAN_S
            self.assertGreaterEqual(factor, _MIN_FACTOR - 1e-9)
            self.assertLessEqual(factor, _MAX_FACTOR + 1e-9)

    def test_constant_false_slowdown_is_compensated(self) -> None:
        """Guards against a stuck figure that distorts every prediction."""
        for slowdown in (0.01, 10_000):
            for _ in range(40):
                self._report(slowdown)
                self._record_latency(_MEDIAN_S)
            self.assertAlmostEqual(self._predict_s(), _MEDIAN_S, places=4)

    def _report(
        self, slowdown: float | None, running: int = 0, waiting: int = 0
    ) -> None:
        report = LoadReport(running, waiting, _SLOTS, slowdown)
        self.tracker.record_load(self.health, report)

    def _record_latency(self, latency_s: float) -> None:
        self.tracker.record_latency(self.health, latency_s, _MEDIAN_S)

    def _predict_s(self) -> float:
        return estimate_latency_s(
            self.health,
            now=self.clock(),
            service_time_s=_MEDIAN_S,
            mean_service_time_s=_MEDIAN_S,
            slots=_SLOTS,
        )
