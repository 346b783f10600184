"""Tests of searcher selection."""

import random
import unittest

from jacinthcart.catalogue import CatalogueState
from jacinthcart.fleet import (
    MemberParameters,
    MemberTable,
)
from jacinthcart.routing import (
    ColdStartLimiter,
    HealthTracker,
    RoutingTable,
    SelectionParameters,
)
from jacinthcart.telemetry import create_logger
from tests.support import (
    ManualClock,
    create_catalogue,
    create_member,
    create_route,
    create_searcher,
)

_MEDIAN_S = 0.02
_TARGET_S = 0.1


class RoutingTableTests(unittest.TestCase):
    """Selection by data centre, load, slowness and failures."""

    def setUp(self) -> None:
        """Create a table with a local and a remote searcher."""
        self.clock = ManualClock()
        logger = create_logger('test')
        self.state = CatalogueState(self.clock, logger)
        self.health_tracker = HealthTracker(self.clock)
        own = create_member('10.0.0.1')
        self.members = MemberTable(own, self.clock, logger, MemberParameters())
        self.table = RoutingTable(
            self.state,
            self.members,
            self.health_tracker,
            ColdStartLimiter(own.address, self.members.rank, self.clock),
            self.clock,
            random.Random(1),
            lambda: 0.1,
            SelectionParameters(),
        )
        self.near = create_searcher('near')
        self.far = create_searcher('far', data_centre='far')
        self.state.apply_searcher_changes({'near': self.near, 'far': self.far})

    def test_near_searcher_is_preferred(self) -> None:
        """Guards against charged traffic between data centres."""
        self.assertEqual(self._choose(), 'near')

    def test_busy_near_searcher_is_avoided(self) -> None:
        """A queue costs more than sending to another data centre."""
        health = self.table.get_health(self.near)
        for number in range(8):
            health.started_at_by_attempt[number] = self.clock()
        self.assertEqual(self._choose(), 'far')

    def test_stalled_searcher_is_avoided_before_it_responds(self) -> None:
        """An overdue send reveals a stall before any response arrives."""
        health = self.table.get_health(self.near)
        health.started_at_by_attempt[1] = self.clock()
        self.clock.advance(0.12)
        self.assertEqual(self._choose(), 'far')

    def test_slow_searcher_is_avoided_and_tried_again_later(self) -> None:
        """Slowness decays, so that a recovered searcher gets requests."""
        health = self.table.get_health(self.near)
        for _ in range(4):
            self.health_tracker.record_latency(health, 0.2, _MEDIAN_S)
        self.assertEqual(self._choose(), 'far')
        self.clock.advance(30)
        self.assertEqual(self._choose(), 'near')

    def test_failing_searcher_is_the_last_resort(self) -> None:
        """A failed searcher is used only if there is no other."""
        self.health_tracker.record_failure(self.table.get_health(self.near))
        self.assertEqual(self._choose(), 'far')
        chosen = self.table.choose('shard-0', {'far'}, _MEDIAN_S, _TARGET_S)
        assert chosen is not None
        self.assertEqual(chosen.searcher_id, 'near')

    def test_searcher_that_loses_responses_is_avoided(self) -> None:
        """Successes between the failures must not hide them."""
        health = self.table.get_health(self.near)
        for number in range(20):
            if number % 3 == 0:
                self.health_tracker.record_failure(health)
            else:
                self.health_tracker.record_success(health)
        self.clock.advance(0.5)
        self.assertEqual(self._choose(), 'far')

    def test_searcher_that_sometimes_sheds_is_avoided(self) -> None:
        """Guards against shed requests that use up the extra-send budget."""
        health = self.table.get_health(self.near)
        for number in range(10):
            if number % 2 == 0:
                self.health_tracker.record_shed(health)
            else:
                self.health_tracker.record_success(health)
        self.clock.advance(1)
        self.assertEqual(self._choose(), 'far')

    def test_searcher_without_a_free_connection_is_avoided(self) -> None:
        """All VMs together must stay below the connection limit."""
        self.state.update_catalogue(create_catalogue(create_route('a')))
        health = self.table.get_health(self.near)
        health.started_at_by_attempt[1] = self.clock()
        self.assertEqual(self._choose(), 'near')
        health.started_at_by_attempt[2] = self.clock()
        self.assertEqual(self._choose(), 'far')

    def test_new_process_of_a_failed_searcher_is_not_blamed(self) -> None:
        """Health belongs to a process, not to a searcher id."""
        self.health_tracker.record_failure(self.table.get_health(self.near))
        again = create_searcher('near', born=2)
        self.state.apply_searcher_changes({'near': again})
        self.assertEqual(self._choose(), 'near')

    def test_process_with_an_earlier_start_time_has_its_own_state(self) -> None:
        """Guards against state of the former process after a clock step."""
        former = create_searcher('near', born=100)
        self.state.apply_searcher_changes({'near': former})
        self.health_tracker.record_failure(self.table.get_health(former))
        again = create_searcher('near', born=40, cold_left_ms=3000)
        self.state.apply_searcher_changes({'near': again})
        self.clock.advance(4)
        self.state.accept_earlier_processes()
        self.assertEqual(self.table.get_health(again).consecutive_failures, 0)
        self.assertTrue(self._is_cold())
        self.assertEqual(self._choose(), 'near')

    def test_cold_searcher_gets_no_more_than_its_rate(self) -> None:
        """Guards against unrecorded sends, which the limiter can't limit."""
        catalogue = create_catalogue(
            create_route('a', shards=('shard-1',), shares=()),
            cold_rate=2,
        )
        self.state.update_catalogue(catalogue)
        cold = create_searcher('cold', service='shard-1', cold_left_ms=3000)
        self.state.apply_searcher_changes({'cold': cold})
        sent = 0
        for _ in range(100):
            chosen = self.table.choose('shard-1', (), _MEDIAN_S, _TARGET_S)
            if chosen is not None:
                self.table.record_send(chosen)
                sent += 1
            self.clock.advance(0.01)
        self.assertEqual(sent, 2)
        earliest_send = self.table.compute_earliest_send('shard-1', ())
        self.assertGreater(earliest_send, self.clock())
        self.assertLess(earliest_send, self.clock() + 1)

    def test_request_that_is_held_back_is_not_counted(self) -> None:
        """Guards against recording a send when the searcher is only chosen."""
        self.state.update_catalogue(
            create_catalogue(create_route('a'), cold_rate=2),
        )
        self._announce_cold(2)
        for _ in range(3):
            self.assertEqual(self._choose(), 'near')

    def test_searcher_may_become_cold_again(self) -> None:
        """Guards against full load on a searcher in its second cold start."""
        for sequence in (2, 3):
            self._announce_cold(sequence)
            self.assertTrue(self._is_cold())
            self.clock.advance(4)
            self.assertFalse(self._is_cold())

    def test_old_announcement_does_not_prolong_the_cold_start(self) -> None:
        """Guards against a limit that lasts as long as the searcher's entry.

        The entry stays in the catalogue after the cold start.
        """
        self._announce_cold(2)
        self.assertTrue(self._is_cold())
        self.clock.advance(4)
        self.state.apply_searcher_changes({'other': create_searcher('other')})
        self.assertFalse(self._is_cold())

    def _announce_cold(self, sequence: int) -> None:
        cold = create_searcher('near', cold_left_ms=3000, sequence=sequence)
        self.state.apply_searcher_changes({'near': cold})

    def _is_cold(self) -> bool:
        return self.table.is_cold(self.state.searchers_by_id['near'])

    def _choose(self) -> str | None:
        chosen = self.table.choose('shard-0', (), _MEDIAN_S, _TARGET_S)
        return chosen.searcher_id if chosen else None
