"""Tests of rank, slack and admitted fraction of competing queries."""

import unittest

from jacinthcart.overload import (
    AdmissionPolicy,
    BandParameters,
    QueryKind,
    compute_slack_s,
)
from jacinthcart.routing import ServiceTimes
from tests.support import create_route

_SHARDS = ('shard-0', 'shard-1')
_PARAMS = BandParameters(reserve_s=0.02)
_DEFAULT_S = 9.0


def _create_kind(
    name: str, priority: int = 1, target_s: float = 0.3
) -> QueryKind:
    route = create_route(name, target_s=target_s, shards=_SHARDS, shares=())
    return QueryKind(route, priority, 0)


class AdmissionPolicyTests(unittest.TestCase):
    """Queries that compete for the same shards."""

    def setUp(self) -> None:
        """Create a policy without known service times."""
        self.service_times = ServiceTimes()
        self.policy = AdmissionPolicy(self.service_times, _PARAMS)

    def test_priority_goes_before_work(self) -> None:
        """Guards against urgent queries turned away for light ones."""
        self._record('urgent', 0.08)
        self._record('light', 0.01)
        urgent, light = _create_kind('urgent', 0), _create_kind('light', 1)
        self.assertEqual(self._list_ranks(light, urgent), [1, 0])

    def test_more_work_ranks_behind_within_a_priority(self) -> None:
        """Guards against one heavy query in the room of several light ones."""
        self._record('light', 0.01)
        self._record('heavy', 0.04)
        light, heavy = _create_kind('light'), _create_kind('heavy')
        self.assertEqual(self._list_ranks(heavy, light), [1, 0])
        delay_s = 0.11
        competing = [light, heavy]
        fractions = [
            self.policy.compute_fraction(
                delay_s, self._get_slack_s(kind, competing), kind, competing
            )
            for kind in competing
        ]
        self.assertGreater(*fractions)

    def test_similar_work_shares_a_rank(self) -> None:
        """Guards against an order that noise in service times decides."""
        self._record('one', 0.02)
        self._record('two', 0.03)
        kinds = [_create_kind('one'), _create_kind('two')]
        self.assertEqual(self._list_ranks(*kinds), [0, 0])

    def test_smallest_slack_bounds_the_queue(self) -> None:
        """Guards against a queue that makes the tightest route late."""
        self._record('tight', 0.01)
        self._record('wide', 0.01)
        tight = _create_kind('tight', target_s=0.1)
        wide = _create_kind('wide', target_s=0.5)
        self.assertAlmostEqual(
            self._get_slack_s(wide, [tight, wide]),
            compute_slack_s(tight.route, 0.01, _PARAMS),
        )

    def test_route_that_is_always_late_keeps_no_other_out(self) -> None:
        """Guards against shards closed by a target below the service time."""
        self._record('hopeless', 0.05)
        self._record('wide', 0.05)
        hopeless = _create_kind('hopeless', target_s=0.03)
        wide = _create_kind('wide', target_s=0.5)
        competing = [hopeless, wide]
        slack_s = self._get_slack_s(wide, competing)
        self.assertGreater(slack_s, 0.3)
        self.assertEqual(
            self.policy.compute_fraction(0.005, slack_s, wide, competing), 1
        )
        self.assertGreater(self._get_slack_s(hopeless, [hopeless]), 0)

    def _get_slack_s(
        self, kind: QueryKind, competing: list[QueryKind]
    ) -> float:
        return min(self.policy.compute_slacks_s(kind, competing).values())

    def _record(self, route: str, service_time_s: float) -> None:
        for _ in range(10):
            self.service_times.record(
                route, _SHARDS[0], service_time_s, _DEFAULT_S, is_queued=False
            )

    def _list_ranks(self, *kinds: QueryKind) -> list[int]:
        return [
            self.policy.compute_rank(kind, list(kinds))[0] for kind in kinds
        ]
