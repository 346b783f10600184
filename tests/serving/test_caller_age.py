"""Tests of the estimated age of requests on arrival."""

import unittest

from jacinthcart.serving import CallerAgeEstimator
from tests.support import create_request

_LIMIT_S = 1.0
_TARGET_S = 0.1


class CallerAgeEstimatorTests(unittest.TestCase):
    """A time limit below the full one shows the time a caller has spent."""

    def setUp(self) -> None:
        """Record requests with the full time limit of a route."""
        self.estimator = CallerAgeEstimator()
        for _ in range(30):
            self._estimate_age(_LIMIT_S)

    def test_caller_that_connected_first_is_older(self) -> None:
        """Guards against missing the target by the connect time."""
        self.assertAlmostEqual(self._estimate_age(_LIMIT_S - 0.015), 0.015)

    def test_caller_that_looked_up_addresses_first_is_older(self) -> None:
        """Guards against missing short targets.

        The address lookup and the connect can take a third of a target.
        """
        self.assertAlmostEqual(self._estimate_age(_LIMIT_S - 0.04), 0.04)

    def test_full_time_limit_means_an_age_of_zero(self) -> None:
        """A time limit above the full one also means an age of zero."""
        self.assertEqual(self._estimate_age(_LIMIT_S), 0)
        self.assertEqual(self._estimate_age(2 * _LIMIT_S), 0)

    def test_caller_with_its_own_limit_has_an_age_of_zero(self) -> None:
        """A much shorter limit says nothing about the age."""
        self.assertEqual(self._estimate_age(_LIMIT_S / 2), 0)

    def test_unknown_route_has_no_full_limit(self) -> None:
        """The first requests of a process must not get a wrong age."""
        request = create_request(0, _LIMIT_S - 0.015)
        self.assertEqual(
            self.estimator.estimate_age_s(request, 'b', _TARGET_S), 0
        )

    def _estimate_age(self, limit_s: float) -> float:
        request = create_request(0, limit_s)
        return self.estimator.estimate_age_s(request, 'a', _TARGET_S)
