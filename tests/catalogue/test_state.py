"""Tests of the catalogue state and of route lookup."""

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
    """Entries with newer versions replace older ones, never the reverse."""

    def setUp(self) -> None:
        """Create a state whose last store outage ended 10 s ago."""
        self.clock = ManualClock()
        self.state = CatalogueState(self.clock, create_logger('test'))
        self.state.record_proof(self.clock())
        self.clock.advance(10)
        self.state.record_proof(self.clock() - 1)
        self.clock.advance(10)

    def test_older_version_never_replaces_a_newer_one(self) -> None:
        """Guards against reverting to an old configuration."""
        self.state.update_catalogue(create_catalogue(version=9))
        self.state.update_catalogue(create_catalogue(version=4))
        assert self.state.catalogue is not None
        self.assertEqual(self.state.catalogue.version, 9)

    def test_draining_searcher_gets_no_requests(self) -> None:
        """A searcher that is shutting down must get no new work."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        draining = create_searcher(
            'a',
            state=SearcherState.DRAINING,
            sequence=2,
        )
        self.state.apply_searcher_changes({'a': draining})
        self.assertEqual(self.state.list_searchers('shard-0'), ())

    def test_late_announcement_does_not_end_draining(self) -> None:
        """Entries with an older sequence number are ignored."""
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

    def test_new_process_with_the_same_id_replaces_the_old_one(self) -> None:
        """The sequence numbers of a restarted searcher begin at one again."""
        self.state.apply_searcher_changes(
            {'a': create_searcher('a', sequence=50)}
        )
        self.state.apply_searcher_changes({'a': create_searcher('a', born=2)})
        self.assertEqual(self.state.list_searchers('shard-0')[0].born, 2)

    def test_removed_searcher_gets_no_requests(self) -> None:
        """Without a store outage, a removal takes effect immediately."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        self.state.apply_searcher_changes({'a': None})
        self.assertEqual(self.state.list_searchers('shard-0'), ())

    def test_searcher_that_lapsed_in_an_outage_stays_for_a_grace_period(
        self,
    ) -> None:
        """Live searchers need time to publish their entries again."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        self.state.record_proof(self.clock())
        self.state.apply_searcher_changes({'a': None})
        self.assertEqual(len(self.state.list_searchers('shard-0')), 1)
        self.clock.advance(2.1)
        self.state.remove_lapsed()
        self.assertEqual(self.state.list_searchers('shard-0'), ())

    def test_evacuated_data_centre_gets_no_requests(self) -> None:
        """An evacuation applies to every searcher of the data centre."""
        self.state.apply_searcher_changes({'a': create_searcher('a')})
        self.state.update_evacuated(frozenset(('near',)))
        self.assertEqual(self.state.list_searchers('shard-0'), ())
        self.state.update_evacuated(frozenset())
        self.assertEqual(len(self.state.list_searchers('shard-0')), 1)


class FindRouteTests(unittest.TestCase):
    """Route lookup uses the longest matching prefix of the host."""

    def test_longest_prefix_wins(self) -> None:
        """The routes of a host are sorted, longest prefix first."""
        inner = create_route('inner', prefix='/a/b/')
        outer = create_route('outer', prefix='/a/')
        catalogue = create_catalogue(inner, outer)
        self.assertIs(find_route(catalogue, 'shop.example', '/a/b/1'), inner)
        self.assertIs(find_route(catalogue, 'SHOP.example', '/a/c'), outer)

    def test_unknown_host_or_path_has_no_route(self) -> None:
        """A path that only shares leading characters does not match."""
        catalogue = create_catalogue(create_route('a', prefix='/a/'))
        self.assertIsNone(find_route(catalogue, 'shop.example', '/ab'))
        self.assertIsNone(find_route(catalogue, 'other.example', '/a/b'))
