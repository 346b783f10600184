"""Tests of shards that urgent queries share with others."""

import unittest

from jacinthcart.catalogue import Route
from tests.support import create_catalogue, create_route

_SHARDS = ('shard-0', 'shard-1')


def _create_query_route(name: str, priority: int, *shards: str) -> Route:
    return create_route(name, priority=priority, shares=(), shards=shards)


class ContendedServicesTests(unittest.TestCase):
    """Services of which queueing delays matter without a slowdown."""

    def test_urgent_queries_beside_others(self) -> None:
        """Guards against urgent queries behind a queue nobody looks at."""
        catalogue = create_catalogue(
            _create_query_route('urgent', 0, *_SHARDS),
            _create_query_route('other', 1, *_SHARDS),
            _create_query_route('alone', 0, 'shard-2'),
            create_route('single', priority=1),
        )
        self.assertEqual(catalogue.contended_services, set(_SHARDS))

    def test_deployments_without_urgent_queries(self) -> None:
        """Guards against changed decisions where no route is urgent."""
        catalogue = create_catalogue(
            _create_query_route('heavy', 1, *_SHARDS),
            _create_query_route('light', 2, *_SHARDS),
            create_route('single', priority=0),
            create_route('bulk', priority=2),
        )
        self.assertEqual(catalogue.contended_services, frozenset())
