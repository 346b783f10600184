"""Tests of service times learned from responses without a queue."""

import unittest

from jacinthcart.routing import LoadReport
from jacinthcart.routing._service_times import ServiceTimes

_SERVICE_TIME_S = 0.02
_DEFAULT_S = 9.0
_SAMPLES = 400


class ServiceTimeTests(unittest.TestCase):
    """Service times of one route."""

    def setUp(self) -> None:
        """Create an empty record."""
        self.times = ServiceTimes()

    def test_queued_responses_do_not_count(self) -> None:
        """Guards against an overload that raises the service times."""
        self._record(_SERVICE_TIME_S)
        self._record(0.5, waiting=3)
        self.assertAlmostEqual(self._estimate_s(), _SERVICE_TIME_S)
        self.assertAlmostEqual(self.times.mean_s, _SERVICE_TIME_S)

    def test_reports_without_slowdown_are_ignored(self) -> None:
        """Guards against estimates from searchers that report too little."""
        self._record(_SERVICE_TIME_S, slowdown=None)
        self.assertEqual(self._estimate_s(), _DEFAULT_S)
        self.assertEqual(self.times.mean_s, 0)

    def test_slowdown_is_divided_out(self) -> None:
        """Guards against slow machines that raise the service times."""
        self._record(2.5 * _SERVICE_TIME_S, slowdown=2.5)
        self.assertAlmostEqual(self._estimate_s(), _SERVICE_TIME_S)

    def test_other_routes_keep_their_times(self) -> None:
        """Guards against heavy queries that make light ones seem slow."""
        self._record(_SERVICE_TIME_S)
        self._record(0.3, route='b')
        self.assertAlmostEqual(self._estimate_s(), _SERVICE_TIME_S)

    def _record(
        self,
        latency_s: float,
        waiting: int = 0,
        slowdown: float | None = 1,
        route: str = 'a',
    ) -> None:
        report = LoadReport(1, waiting, 2, slowdown)
        for _ in range(_SAMPLES):
            self.times.record(route, latency_s, report)

    def _estimate_s(self) -> float:
        return self.times.estimate_s('a', 0.9, _DEFAULT_S)
