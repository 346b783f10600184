"""Tests of the configuration and the searchers in use."""

import unittest

from jacinthcart.catalogue import CatalogueState, SearcherState, find_route
from jacinthcart.telemetry import create_logger
from tests.support import (
    ManualClock,
    create_catalogue,
    create_route,
    create_searcher,
)


class CatalogueStateTests(unittest.TestCase):
    """What is published decides, in the order of its numbers."""

    def setUp(self) -> None:
        """Create a book with proof."""
        self.clock = ManualClock()
        self.state = CatalogueState(self.clock, create_logger('test'))
        self.state.record_proof(self.clock())
        self.clock.move(10)
        self.state.record_proof(self.clock() - 1)
        self.clock.move(10)

    def test_older_version_never_replaces_a_newer_one(self) -> None:
        """An accepted configuration must not revert."""
        self.state.update_catalogue(create_catalogue(version=9))
        self.state.update_catalogue(create_catalogue(version=4))
        assert self.state.catalogue is not None
        self.assertEqual(self.state.catalogue.version, 9)

    def test_draining_searcher_gets_no_requests(self) -> None:
        """A searcher that leaves must get no new work."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        draining = create_searcher(
            'a',
            state=SearcherState.DRAINING,
            sequence=2,
        )
        self.state.apply_searcher_changes({'a': draining})
        self.assertEqual(self.state.list_searchers('shard-0'), ())

    def test_late_announcement_does_not_end_draining(self) -> None:
        """An old announcement that arrives late says nothing new."""
        draining = create_searcher(
            'a',
            state=SearcherState.DRAINING,
            sequence=5,
        )
        self.state.apply_searcher_changes({'a': draining})
        self.state.apply_searcher_changes(
            {'a': create_searcher('a', sequence=3)}
        )
        self.assertEqual(self.state.list_searchers('shard-0'), ())

    def test_new_process_under_the_same_id_counts_anew(self) -> None:
        """A searcher that starts again begins its sequence at one."""
        self.state.apply_searcher_changes(
            {'a': create_searcher('a', sequence=50)}
        )
        self.state.apply_searcher_changes({'a': create_searcher('a', born=2)})
        self.assertEqual(self.state.list_searchers('shard-0')[0].born, 2)

    def test_removed_searcher_gets_no_requests(self) -> None:
        """A removed entry of a calm day is gone at once."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        self.state.apply_searcher_changes({'a': None})
        self.assertEqual(self.state.list_searchers('shard-0'), ())

    def test_entry_that_lapsed_in_an_outage_stays_for_a_while(self) -> None:
        """Live searchers need time to publish themselves again."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        self.state.record_proof(self.clock())
        self.state.apply_searcher_changes({'a': None})
        self.assertEqual(len(self.state.list_searchers('shard-0')), 1)
        self.clock.move(2.1)
        self.state.remove_lapsed()
        self.assertEqual(self.state.list_searchers('shard-0'), ())

    def test_evacuated_data_centre_gets_no_requests(self) -> None:
        """An evacuation holds for every searcher of the data centre."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        self.state.update_evacuated(frozenset(('near',)))
        self.assertEqual(self.state.list_searchers('shard-0'), ())
        self.state.update_evacuated(frozenset())
        self.assertEqual(len(self.state.list_searchers('shard-0')), 1)


class FindRouteTests(unittest.TestCase):
    """The longest prefix of the host decides."""

    def test_longest_prefix_wins(self) -> None:
        """Routes are ordered by the adapter, longest prefix first."""
        inner = create_route('inner', prefix='/a/b/')
        outer = create_route('outer', prefix='/a/')
        catalogue = create_catalogue(inner, outer)
        self.assertIs(find_route(catalogue, 'shop.example', '/a/b/1'), inner)
        self.assertIs(find_route(catalogue, 'SHOP.example', '/a/c'), outer)

    def test_unknown_host_or_path_has_no_route(self) -> None:
        """A path that only resembles a prefix is not on its route."""
        catalogue = create_catalogue(create_route('a', prefix='/a/'))
        self.assertIsNone(find_route(catalogue, 'shop.example', '/ab'))
        self.assertIsNone(find_route(catalogue, 'other.example', '/a/b'))
