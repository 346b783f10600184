"""Tests of the routes that compete for searchers."""

import unittest

from jacinthcart.overload import DemandTracker, QueryKind
from tests.support import ManualClock, create_route

_SHARDS = ('shard-0', 'shard-1')
#: Seconds after which a route without queries is idle beyond doubt.
_IDLE_S = 60


class DemandTests(unittest.TestCase):
    """Kinds of recent queries."""

    def setUp(self) -> None:
        """Record a query of one of two routes over the same shards."""
        self.clock = ManualClock()
        self.tracker = DemandTracker(self.clock)
        self.kind = QueryKind(create_route('a', shards=_SHARDS), 0, 0)
        self.other = QueryKind(create_route('b', shards=_SHARDS), 0, 0)
        self.tracker.record(self.kind)

    def test_unused_route_does_not_compete(self) -> None:
        """Guards against a limit by routes that are only configured."""
        self.assertEqual(self.tracker.list_competing(_SHARDS), [self.kind])

    def test_idle_route_competes_no_longer(self) -> None:
        """Guards against a limit by a route that was used long ago."""
        self.clock.advance(_IDLE_S)
        self.tracker.record(self.other)
        self.assertEqual(self.tracker.list_competing(_SHARDS), [self.other])

    def test_other_shards_do_not_compete(self) -> None:
        """Guards against a limit by routes at other searchers."""
        self.assertEqual(self.tracker.list_competing(('shard-0',)), [])

    def test_decisive_part_is_the_slowest_required_one(self) -> None:
        """Guards against slack for a part that an answer can lack."""
        shards = tuple(f'shard-{number}' for number in range(10))
        route = create_route('a', shards=shards)
        self.assertAlmostEqual(QueryKind(route, 0, 0).decisive_quantile, 0.95)
        self.assertAlmostEqual(QueryKind(route, 0, 2).decisive_quantile, 0.75)
