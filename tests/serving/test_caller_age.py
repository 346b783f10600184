"""Tests of how long callers had waited before their requests arrived."""

import unittest

from jacinthcart.serving import CallerAgeEstimator
from tests.support import create_request

_LIMIT_S = 1.0
_TARGET_S = 0.1


class CallerAgesTests(unittest.TestCase):
    """A shorter time limit than usual shows time that a caller spent."""

    def setUp(self) -> None:
        """Learn the usual time limit of a route."""
        self.ages = CallerAgeEstimator()
        for _ in range(30):
            self._find_age(_LIMIT_S)

    def test_caller_that_connected_first_is_older(self) -> None:
        """Its target would be missed by the time of the handshake."""
        self.assertAlmostEqual(self._find_age(_LIMIT_S - 0.015), 0.015)

    def test_caller_that_asked_for_addresses_first_is_older(self) -> None:
        """Short targets are used up by a third on the way to the VM."""
        self.assertAlmostEqual(self._find_age(_LIMIT_S - 0.04), 0.04)

    def test_caller_with_all_of_its_time_is_new(self) -> None:
        """Callers that wait for longer than others are new, too."""
        self.assertEqual(self._find_age(_LIMIT_S), 0)
        self.assertEqual(self._find_age(2 * _LIMIT_S), 0)

    def test_caller_with_a_limit_of_its_own_is_new(self) -> None:
        """A much shorter limit says nothing about its age."""
        self.assertEqual(self._find_age(_LIMIT_S / 2), 0)

    def test_unknown_route_has_no_usual_limit(self) -> None:
        """The first requests of a process must not be misjudged."""
        request = create_request(0, _LIMIT_S - 0.015)
        self.assertEqual(self.ages.find_age_s(request, 'b', _TARGET_S), 0)

    def _find_age(self, limit_s: float) -> float:
        request = create_request(0, limit_s)
        return self.ages.find_age_s(request, 'a', _TARGET_S)
