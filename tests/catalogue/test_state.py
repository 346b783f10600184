"""Tests of the catalogue state and of route lookup."""

import unittest

from jacinthcart.catalogue import (
    CatalogueState,
    Searcher,
    SearcherState,
    find_route,
)
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


class MissingEntryTests(unittest.TestCase):
    """Entries and evacuations that the store came back without."""

    def setUp(self) -> None:
        """Create a state with a searcher; the store had no known outage."""
        self.clock = ManualClock()
        self.state = CatalogueState(self.clock, create_logger('test'))
        self.searcher = create_searcher('a', sequence=5)
        self.state.record_proof(self.clock())
        self.clock.advance(10)
        self.state.apply_searcher_changes({'a': self.searcher})

    def test_missing_entry_is_used_for_two_seconds(self) -> None:
        """Guards against losing live searchers when the store returns."""
        self._apply(self.searcher, is_missing=True)
        self._advance(1.9)
        self.assertTrue(self._is_used())
        self._advance(0.1)
        self.assertFalse(self._is_used())

    def test_written_entry_ends_the_period(self) -> None:
        """Guards against dropping a searcher that has published again."""
        self._apply(self.searcher, is_missing=True)
        self._advance(1)
        self._apply(create_searcher('a', sequence=6))
        self._advance(5)
        self.assertTrue(self._is_used())

    def test_late_entry_makes_the_searcher_usable_again(self) -> None:
        """Guards against ignoring a searcher that was dropped once."""
        self._apply(self.searcher, is_missing=True)
        self._advance(2.5)
        self._apply(create_searcher('a', sequence=6))
        self._advance(5)
        self.assertTrue(self._is_used())

    def test_removal_of_a_missing_entry_takes_effect_immediately(self) -> None:
        """Guards against requests to searchers that left after a return."""
        self.state.record_proof(self.clock())
        self._apply(self.searcher, is_missing=True)
        self._apply(None)
        self.assertFalse(self._is_used())

    def test_repeated_report_does_not_extend_the_period(self) -> None:
        """Guards against dead searchers in use over returns in series."""
        for _ in range(2):
            self._apply(self.searcher, is_missing=True)
            self._advance(1)
        self._apply(self.searcher, is_missing=True)
        self._advance(0)
        self.assertFalse(self._is_used())
        self._apply(self.searcher, is_missing=True)
        self.assertFalse(self._is_used())

    def test_each_return_starts_a_period(self) -> None:
        """Guards against a short period when returns follow each other."""
        self._apply(self.searcher, is_missing=True)
        self._advance(1.5)
        rewritten = create_searcher('a', sequence=6)
        self._apply(rewritten)
        self._apply(rewritten, is_missing=True)
        self._advance(1.5)
        self.assertTrue(self._is_used())

    def test_entry_written_between_two_returns_starts_a_period(self) -> None:
        """A paused VM learns of the entry only after the second return."""
        self._apply(self.searcher, is_missing=True)
        self._advance(2.5)
        self._apply(create_searcher('a', sequence=6), is_missing=True)
        self.assertTrue(self._is_used())

    def test_draining_searcher_stays_unused_while_missing(self) -> None:
        """Guards against requests to a searcher that is shutting down."""
        draining = create_searcher(
            'a', sequence=6, state=SearcherState.DRAINING
        )
        self._apply(draining)
        self._apply(draining, is_missing=True)
        self._apply(self.searcher, is_missing=True)
        self._apply(self.searcher)
        self.assertFalse(self._is_used())

    def test_missing_evacuation_stays_in_force_for_a_limited_time(self) -> None:
        """Guards against requests to an evacuated data centre, and forever."""
        self.state.update_evacuated({'near'})
        self.state.update_evacuated(frozenset(), missing={'near'})
        self._advance(29)
        self.state.update_evacuated(frozenset(), missing={'near'})
        self.assertFalse(self._is_used())
        self._advance(1)
        self.assertTrue(self._is_used())
        self.state.update_evacuated(frozenset(), missing={'near'})
        self.assertTrue(self._is_used())

    def test_evacuation_written_again_has_no_end(self) -> None:
        """Guards against ending an evacuation that is in the store."""
        self.state.update_evacuated(frozenset(), missing={'near'})
        self._advance(20)
        self.state.update_evacuated({'near'})
        self._advance(20)
        self.assertFalse(self._is_used())
        self.state.update_evacuated(frozenset(), missing={'near'})
        self._advance(20)
        self.assertFalse(self._is_used())

    def test_withdrawn_missing_evacuation_ends_immediately(self) -> None:
        """Guards against evacuations that outlive their withdrawal."""
        self.state.update_evacuated({'near'})
        self.state.update_evacuated(frozenset(), missing={'near'})
        self.state.update_evacuated(frozenset())
        self.assertTrue(self._is_used())

    def _apply(
        self, searcher: Searcher | None, *, is_missing: bool = False
    ) -> None:
        missing_ids = {'a'} if is_missing else set()
        self.state.apply_searcher_changes({'a': searcher}, missing_ids)

    def _advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.state.remove_lapsed()

    def _is_used(self) -> bool:
        return bool(self.state.list_searchers('shard-0'))


class EarlierProcessTests(unittest.TestCase):
    """Entries whose process began before that of the last known entry."""

    def setUp(self) -> None:
        """Create a state with a searcher whose process began at 100."""
        self.clock = ManualClock()
        self.state = CatalogueState(self.clock, create_logger('test'))
        self.state.record_proof(self.clock())
        self.clock.advance(10)
        self._apply(create_searcher('a', born=100, sequence=5))

    def test_restart_after_a_backward_clock_step_is_accepted(self) -> None:
        """Guards against a live searcher that is ignored for good."""
        for former in (create_searcher('a', born=100, sequence=6), None):
            with self.subTest(former=former):
                self._apply(former)
                self._apply(create_searcher('a', born=40))
                self._advance(4)
                self.assertEqual(self._list_born(), [40])

    def test_old_entry_does_not_replace_the_newer_process(self) -> None:
        """The live process writes its entry again within two seconds."""
        self._apply(create_searcher('a', born=40))
        self._advance(2.5)
        self.assertEqual(self._list_born(), [100])
        self._apply(create_searcher('a', born=100, sequence=7))
        self._advance(10)
        self.assertEqual(self._list_born(), [100])

    def test_removed_earlier_process_is_not_accepted(self) -> None:
        """Guards against requests to a searcher that is gone."""
        self._apply(create_searcher('a', born=40))
        self._apply(None)
        self._advance(10)
        self.assertEqual(self._list_born(), [])

    def test_last_entry_of_the_earlier_process_counts(self) -> None:
        """Guards against requests to a searcher that is shutting down."""
        self._apply(create_searcher('a', born=40))
        self._advance(3)
        draining = create_searcher(
            'a', born=40, sequence=2, state=SearcherState.DRAINING
        )
        self._apply(draining)
        self._apply(create_searcher('a', born=40))
        self._advance(1)
        self.assertEqual(self._list_born(), [])

    def test_missing_entry_of_an_earlier_process_is_not_accepted(self) -> None:
        """Guards against requests to a process that is not in the store."""
        earlier = create_searcher('a', born=40)
        self.state.apply_searcher_changes({'a': earlier}, {'a'})
        self._advance(10)
        self.assertEqual(self._list_born(), [100])

    def test_entry_that_goes_missing_is_not_accepted(self) -> None:
        """Guards against a searcher in use that the store has lost."""
        earlier = create_searcher('a', born=40)
        self._apply(earlier)
        self.state.apply_searcher_changes({'a': earlier}, {'a'})
        self._advance(10)
        self.assertEqual(self._list_born(), [100])

    def test_late_entry_of_the_same_process_is_never_accepted(self) -> None:
        """A process never goes back to an earlier state of its own."""
        self._apply(create_searcher('a', born=100, sequence=4))
        self._advance(10)
        self.assertEqual(
            self.state.searchers_by_id['a'].sequence,
            5,
        )

    def _apply(self, searcher: Searcher | None) -> None:
        self.state.apply_searcher_changes({'a': searcher})

    def _advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.state.remove_lapsed()
        self.state.accept_earlier_processes()

    def _list_born(self) -> list[int]:
        return [one.born for one in self.state.list_searchers('shard-0')]


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
