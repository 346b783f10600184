"""Tests of service times learned from responses without a queue."""

import unittest

from jacinthcart.routing._service_times import ServiceTimes

_SERVICE_TIME_S = 0.02
_DEFAULT_S = 9.0
_SAMPLES = 400
_SERVICE = 'shard-0'


class ServiceTimeTests(unittest.TestCase):
    """Service times of one route."""

    def setUp(self) -> None:
        """Create an empty record."""
        self.times = ServiceTimes()

    def test_queued_responses_do_not_count(self) -> None:
        """Guards against an overload that raises the service times."""
        self._record(_SERVICE_TIME_S)
        self._record(0.5, is_queued=True)
        self.assertAlmostEqual(self._estimate_s(), _SERVICE_TIME_S)
        self.assertAlmostEqual(self.times.get_mean_s(_SERVICE), _SERVICE_TIME_S)

    def test_service_time_is_assumed_until_it_is_known(self) -> None:
        """Guards against a VM that ignores queues as it starts in overload."""
        self._record(0.5, is_queued=True)
        self.assertAlmostEqual(self.times.get_mean_s(_SERVICE), _DEFAULT_S)

    def test_assumption_ends_with_the_first_known_time(self) -> None:
        """Guards against an assumed time that lingers in the mean."""
        for _ in range(10):
            self.times.record('a', _SERVICE, 0.02, _DEFAULT_S, is_queued=False)
        self.assertAlmostEqual(self.times.get_mean_s(_SERVICE), 0.02)

    def test_other_routes_keep_their_times(self) -> None:
        """Guards against heavy queries that make light ones seem slow."""
        self._record(_SERVICE_TIME_S)
        self._record(0.3, route='b')
        self.assertAlmostEqual(self._estimate_s(), _SERVICE_TIME_S)

    def _record(
        self, latency_s: float, route: str = 'a', *, is_queued: bool = False
    ) -> None:
        for _ in range(_SAMPLES):
            self.times.record(
                route, _SERVICE, latency_s, _DEFAULT_S, is_queued=is_queued
            )

    def _estimate_s(self) -> float:
        return self.times.estimate_s('a', 0.9, _DEFAULT_S)
