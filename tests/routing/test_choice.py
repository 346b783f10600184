"""Tests of which searcher a request goes to."""

import random
import unittest

from jacinthcart.catalogue import CatalogueState
from jacinthcart.fleet import (
    MemberParameters,
    MemberTable,
)
from jacinthcart.routing import (
    SelectionParameters,
    ColdStartLimiter,
    HealthTracker,
    RoutingTable,
)
from jacinthcart.telemetry import create_logger
from tests.support import (
    ManualClock,
    create_catalogue,
    create_member,
    create_route,
    create_searcher,
)

_USUAL_S = 0.02
_TARGET_S = 0.1


class RoutingTableTests(unittest.TestCase):
    """The choice weighs data centre, load, slowness and failures."""

    def setUp(self) -> None:
        """Create a table with a near and a far searcher."""
        self.clock = ManualClock()
        logger = create_logger('test')
        self.state = CatalogueState(self.clock, logger)
        self.evidence = HealthTracker(self.clock)
        own = create_member('10.0.0.1')
        self.members = MemberTable(own, self.clock, logger, MemberParameters())
        self.table = RoutingTable(
            self.state,
            self.members,
            self.evidence,
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
        """Traffic between data centres is priced."""
        self.assertEqual(self._choose(), 'near')

    def test_busy_near_searcher_is_left(self) -> None:
        """A queue costs more than the way to another data centre."""
        found = self.table.find_evidence(self.near)
        for number in range(8):
            found.started_at_by_attempt[number] = self.clock()
        self.assertEqual(self._choose(), 'far')

    def test_paused_searcher_is_left_while_it_is_silent(self) -> None:
        """One overdue send shows a pause before any response does."""
        found = self.table.find_evidence(self.near)
        found.started_at_by_attempt[1] = self.clock()
        self.clock.move(0.12)
        self.assertEqual(self._choose(), 'far')

    def test_slow_searcher_is_left_and_tried_again_later(self) -> None:
        """HealthTracker of slowness fades, so that a recovery is found."""
        found = self.table.find_evidence(self.near)
        for _ in range(4):
            self.evidence.note_latency(found, 0.2, _USUAL_S)
        self.assertEqual(self._choose(), 'far')
        self.clock.move(30)
        self.assertEqual(self._choose(), 'near')

    def test_failing_searcher_is_the_last_resort(self) -> None:
        """A failed searcher is used only when no other is left."""
        self.evidence.note_failure(self.table.find_evidence(self.near))
        self.assertEqual(self._choose(), 'far')
        chosen = self.table.choose('shard-0', {'far'}, _USUAL_S, _TARGET_S)
        assert chosen is not None
        self.assertEqual(chosen.searcher_id, 'near')

    def test_searcher_that_loses_answers_is_left(self) -> None:
        """Answers between the failures must not hide them."""
        found = self.table.find_evidence(self.near)
        for number in range(20):
            if number % 3 == 0:
                self.evidence.note_failure(found)
            else:
                self.evidence.note_success(found)
        self.clock.move(0.5)
        self.assertEqual(self._choose(), 'far')

    def test_searcher_that_refuses_now_and_then_is_left(self) -> None:
        """Each refusal costs one of few extra sends."""
        found = self.table.find_evidence(self.near)
        for number in range(10):
            if number % 2 == 0:
                self.evidence.note_shed(found)
            else:
                self.evidence.note_success(found)
        self.clock.move(1)
        self.assertEqual(self._choose(), 'far')

    def test_searcher_without_a_free_connection_is_left(self) -> None:
        """All VMs together must stay below what it accepts."""
        self.state.update_catalogue(create_catalogue(create_route('a')))
        found = self.table.find_evidence(self.near)
        found.started_at_by_attempt[1] = self.clock()
        self.assertEqual(self._choose(), 'near')
        found.started_at_by_attempt[2] = self.clock()
        self.assertEqual(self._choose(), 'far')

    def test_new_process_of_a_failed_searcher_is_not_blamed(self) -> None:
        """HealthTracker belongs to a process, not to an id."""
        self.evidence.note_failure(self.table.find_evidence(self.near))
        again = create_searcher('near', born=2)
        self.state.apply_searcher_changes({'near': again})
        self.assertEqual(self._choose(), 'near')

    def test_cold_searcher_gets_no_more_than_its_rate(self) -> None:
        """A send that is not counted would be followed by the next at once."""
        catalogue = create_catalogue(
            create_route('a', shards=('shard-1',), shares=()),
            cold_rate=2,
        )
        self.state.update_catalogue(catalogue)
        cold = create_searcher('cold', service='shard-1', cold_left_ms=3000)
        self.state.apply_searcher_changes({'cold': cold})
        sent = 0
        for _ in range(100):
            chosen = self.table.choose('shard-1', (), _USUAL_S, _TARGET_S)
            if chosen is not None:
                self.table.note_send(chosen)
                sent += 1
            self.clock.move(0.01)
        self.assertEqual(sent, 2)
        opening = self.table.find_opening('shard-1', ())
        self.assertGreater(opening, self.clock())
        self.assertLess(opening, self.clock() + 1)

    def test_request_that_is_held_back_uses_no_right(self) -> None:
        """The next send was counted when its searcher was chosen."""
        self.state.update_catalogue(
            create_catalogue(create_route('a'), cold_rate=2),
        )
        self._announce_cold(2)
        for _ in range(3):
            self.assertEqual(self._choose(), 'near')

    def test_searcher_may_turn_cold_again(self) -> None:
        """A second cold start would get the whole load."""
        for sequence in (2, 3):
            self._announce_cold(sequence)
            self.assertTrue(self._is_cold())
            self.clock.move(4)
            self.assertFalse(self._is_cold())

    def test_old_announcement_does_not_prolong_the_cold_start(self) -> None:
        """Its entry stays in the catalogue when the searcher is warm."""
        self._announce_cold(2)
        self.assertTrue(self._is_cold())
        self.clock.move(4)
        self.state.apply_searcher_changes({'other': create_searcher('other')})
        self.assertFalse(self._is_cold())

    def _announce_cold(self, sequence: int) -> None:
        cold = create_searcher('near', cold_left_ms=3000, sequence=sequence)
        self.state.apply_searcher_changes({'near': cold})

    def _is_cold(self) -> bool:
        return self.table.is_cold(self.state.searchers_by_id['near'])

    def _choose(self) -> str | None:
        chosen = self.table.choose('shard-0', (), _USUAL_S, _TARGET_S)
        return chosen.searcher_id if chosen else None
