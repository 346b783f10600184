"""Tests of how VMs share the rate limit of a cold searcher."""

import math
import random
import unittest

from jacinthcart.ownership import rank_owners
from jacinthcart.routing import ColdStartLimiter
from tests.support import ManualClock, create_searcher

_VMS = tuple(f'10.0.0.{number}' for number in range(8))
_COLD_S = 6
_STEP_S = 0.005
#: The platform's bound for all requests in one second is
#: `_OVERAGE` x rate + `_SLACK`.
_OVERAGE = 1.5
_SLACK = 5


class ColdStartLimiterTests(unittest.TestCase):
    """Counts sends at the searcher while every VM always has requests."""

    def setUp(self) -> None:
        """Create a searcher at the beginning of its cold start."""
        self.clock = ManualClock()
        self.searcher = create_searcher('cold', cold_left_ms=_COLD_S * 1000)

    def test_fleet_stays_within_the_rate(self) -> None:
        """Guards against an exceeded rate; VMs don't see each other's sends."""
        for rate in (1, 2, 10, 40, 100):
            with self.subTest(rate=rate):
                sent, _ = self._simulate(rate, [_VMS])
                self.assertLessEqual(_count_most(sent), _bound(rate))
                self.assertGreaterEqual(len(sent), 0.5 * rate * _COLD_S)

    def test_two_sides_of_a_partition_stay_within_the_rate(self) -> None:
        """Guards against both sides of a partition each using the full rate."""
        for rate in (1, 2, 10, 40, 100):
            with self.subTest(rate=rate):
                sent, _ = self._simulate(rate, [_VMS[:4], _VMS[4:]])
                self.assertLessEqual(_count_most(sent), _bound(rate))

    def test_several_vms_may_send(self) -> None:
        """Guards against a single sender.

        When all searchers of a service were cold, only the callers of that
        VM got answers.
        """
        self.assertEqual(len(self._simulate(2, [_VMS])[1]), 2)
        self.assertGreater(len(self._simulate(40, [_VMS])[1]), 4)

    def test_searcher_without_a_rate_limit_is_open_to_all(self) -> None:
        """Guards against holding back sends where no rate limit is set."""
        limiter = self._create(_VMS[0], _VMS)
        self.assertEqual(
            limiter.compute_earliest_send(self.searcher, 0), -math.inf
        )

    def test_warm_searcher_is_open_to_all(self) -> None:
        """Guards against a limit that outlasts the cold start."""
        limiter = self._create(_VMS[0], ())
        self.assertEqual(
            limiter.compute_earliest_send(self.searcher, 5), math.inf
        )
        self.clock.advance(_COLD_S)
        self.assertEqual(
            limiter.compute_earliest_send(self.searcher, 5), -math.inf
        )

    def _create(self, own: str, side: tuple[str, ...]) -> ColdStartLimiter:
        limiter = ColdStartLimiter(
            own, lambda key: rank_owners(key, side, len(side)), self.clock
        )
        limiter.update(self.searcher)
        return limiter

    def _simulate(
        self, rate: float, sides: list[tuple[str, ...]]
    ) -> tuple[list[float], set[int]]:
        """Return the times of all sends and the VMs that sent."""
        vms = [self._create(own, side) for side in sides for own in side]
        order = list(enumerate(vms))
        source = random.Random(1)
        sent: list[float] = []
        senders = set()
        for _ in range(round(_COLD_S / _STEP_S) - 1):
            source.shuffle(order)
            for number, limiter in order:
                earliest_send = limiter.compute_earliest_send(
                    self.searcher, rate
                )
                if earliest_send <= self.clock():
                    limiter.record_send(self.searcher)
                    sent.append(self.clock())
                    senders.add(number)
            self.clock.advance(_STEP_S)
        return sent, senders


def _bound(rate: float) -> float:
    return rate * _OVERAGE + _SLACK


def _count_most(sent: list[float]) -> int:
    return max(
        sum(start <= sent_at < start + 1 for sent_at in sent) for start in sent
    )


if __name__ == '__main__':
    unittest.main()
