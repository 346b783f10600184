"""Tests that the description of a choice agrees with the choice."""

import random
import unittest

from jacinthcart.catalogue import CatalogueState, SearcherState
from jacinthcart.fleet import MemberParameters, MemberTable
from jacinthcart.routing import (
    ChoiceDescription,
    ColdStartLimiter,
    HealthTracker,
    LoadReport,
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

_ARGUMENTS = ('shard-0', 0.02, 0.1)


class _Random(random.Random):
    """A random source whose numbers are `fixed` if it is set."""

    fixed: float | None = None

    def random(self) -> float:
        """Return a number in [0, 1)."""
        return super().random() if self.fixed is None else self.fixed


class ChoiceDescriptionTests(unittest.TestCase):
    """The description must name what the table would choose."""

    def setUp(self) -> None:
        """Create a table without searchers."""
        self.clock = ManualClock()
        logger = create_logger('test')
        own = create_member('10.0.0.1')
        members = MemberTable(own, self.clock, logger, MemberParameters())
        self.state = CatalogueState(self.clock, logger)
        self.health_tracker = HealthTracker(self.clock)
        self.source = _Random(1)
        self.table = RoutingTable(
            self.state,
            members,
            self.health_tracker,
            ColdStartLimiter(own.address, members.rank, self.clock),
            self.clock,
            self.source,
            lambda: 0.1,
            SelectionParameters(),
        )
        self.state.update_catalogue(
            create_catalogue(create_route('a'), cold_rate=4)
        )

    def test_choices_in_random_states_are_described(self) -> None:
        """Guards against a description by other rules than the choice's."""
        source = random.Random(7)
        chosen_after_first = 0
        for _ in range(300):
            self._change_state(source)
            self.source.fixed = None
            described = self._describe()
            chosen = self.table.choose(_ARGUMENTS[0], (), *_ARGUMENTS[1:])
            ids = [one.searcher_id for one in described.chosen]
            self.assertEqual(chosen is None, not ids)
            if chosen is None:
                continue
            self.assertIn(chosen.searcher_id, ids)
            chosen_after_first += chosen.searcher_id != ids[0]
            self.source.fixed = 0.0
            chosen = self.table.choose(_ARGUMENTS[0], (), *_ARGUMENTS[1:])
            assert chosen is not None
            self.assertEqual(chosen.searcher_id, ids[0])
        self.assertGreater(chosen_after_first, 0)

    def test_description_draws_and_records_nothing(self) -> None:
        """Guards against an explanation that changes later choices."""
        self._change_state(random.Random(2))
        self.table.choose(_ARGUMENTS[0], (), *_ARGUMENTS[1:])
        drawn = self.source.getstate()
        healths = repr(self.health_tracker.__dict__)
        earliest_send = self.table.compute_earliest_send('shard-0', ())
        self.assertEqual(self._describe(), self._describe())
        self.assertEqual(self.source.getstate(), drawn)
        self.assertEqual(repr(self.health_tracker.__dict__), healths)
        self.assertEqual(
            self.table.compute_earliest_send('shard-0', ()), earliest_send
        )

    def test_obstacles_are_named(self) -> None:
        """An operator must see why a searcher gets nothing."""
        self._apply('ok')
        self._apply('gone', state=SearcherState.DRAINING)
        self._apply('out', data_centre='far')
        self.state.update_evacuated(frozenset(('far',)))
        self.table.availability.record_leaving(self._apply('leaves'))
        self.table.availability.record_retry_after(self._apply('busy'), 2)
        self.table.record_send(self._apply('cold', cold_left_ms=9000))
        described = self._describe()
        self.assertEqual(described.searchers[0].searcher_id, 'ok')
        self.assertEqual(described.rule, 'lowest cost')
        self.assertEqual(
            {one.searcher_id: one.obstacle for one in described.searchers},
            {
                'ok': None,
                'gone': 'draining',
                'out': 'data centre evacuated',
                'leaves': 'leaving',
                'busy': 'asked to wait',
                'cold': 'cold rate',
            },
        )

    def _describe(self) -> ChoiceDescription:
        return self.table.describe_choice(*_ARGUMENTS)

    def _apply(self, searcher_id: str, **changes: object):
        searcher = create_searcher(searcher_id, **changes)
        self.state.apply_searcher_changes({searcher_id: searcher})
        return searcher

    def _change_state(self, source: random.Random) -> None:
        self.clock.advance(source.random())
        for number in range(4):
            searcher = self._apply(
                f's{number}',
                data_centre=source.choice(['near', 'far']),
                cold_left_ms=source.choice([0, 0, 800]),
                sequence=int(self.clock() * 1000),
                state=source.choices(list(SearcherState), (3, 1))[0],
            )
            health = self.table.get_health(searcher)
            health.started_at_by_attempt = {
                attempt: self.clock() for attempt in range(source.randrange(4))
            }
            record = source.choice(
                [
                    self.health_tracker.record_failure,
                    self.health_tracker.record_shed,
                    self.health_tracker.record_success,
                ]
            )
            record(health)
            self.health_tracker.record_load(
                health,
                LoadReport(2, source.randrange(4), 2, source.uniform(1, 2)),
            )
            if source.randrange(5) == 0:
                self.table.availability.record_retry_after(searcher, 0.5)
            if source.randrange(5) == 0:
                self.table.record_send(searcher)
