"""Tests of which requests a stopping process accepts."""

import dataclasses
import unittest

from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.routing import QuantileTracker
from jacinthcart.serving import Shutdown
from tests.support import ManualClock, create_route

_GRACE_S = 6.0
_LATENCY_S = 0.3


class ShutdownTests(unittest.TestCase):
    """Requests are accepted as long as they can be expected to end."""

    def setUp(self) -> None:
        """Create the shutdown of a process that has served requests."""
        self.clock = ManualClock()
        self.route = create_route('a')
        latencies = QuantileTracker()
        for _ in range(50):
            latencies.add(self.route.name, _LATENCY_S)
        self.shutdown = Shutdown(self.clock, latencies)

    def test_request_is_accepted_while_there_is_time(self) -> None:
        """Guards against refusals by a VM whose address callers keep."""
        self._check(1000)
        self.shutdown.begin(_GRACE_S)
        self.clock.advance(_GRACE_S - 3 * _LATENCY_S)
        self._check(1000)

    def test_request_without_time_is_refused_as_not_run(self) -> None:
        """Guards against accepting a request that the shutdown ends."""
        self.shutdown.begin(_GRACE_S)
        self.clock.advance(_GRACE_S - 2 * _LATENCY_S)
        with self.assertRaises(RefusalError) as caught:
            self._check(1000)
        self.assertIs(caught.exception.code, RefusalCode.LEAVING)
        self.assertIs(caught.exception.ran, Ran.NOT_RUN)

    def test_request_that_may_run_once_needs_more_time(self) -> None:
        """Guards against unknown outcomes of requests that can't be repeated."""
        self.route = dataclasses.replace(self.route, is_idempotent=False)
        self.shutdown.begin(_GRACE_S)
        self.clock.advance(_GRACE_S - 4 * _LATENCY_S)
        with self.assertRaises(RefusalError):
            self._check(1000)

    def test_request_with_a_short_deadline_is_accepted(self) -> None:
        """Guards against refusing what ends before the shutdown anyway."""
        self.shutdown.begin(_GRACE_S)
        self.clock.advance(_GRACE_S - 2 * _LATENCY_S)
        self._check(0.2)

    def _check(self, limit_s: float) -> None:
        self.shutdown.check(self.route, self.clock() + limit_s)
