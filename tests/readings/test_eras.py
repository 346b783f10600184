"""Tests of the positions of the store's answers."""

import unittest

from jacinthcart.readings import Position, StoreEraError
from jacinthcart.readings._eras import EraTracker
from tests.support import ManualClock


class EraTrackerTests(unittest.TestCase):
    """An answer belongs to the era in which the store gave it."""

    def setUp(self) -> None:
        """Create a tracker."""
        self.clock = ManualClock()
        self.eras = EraTracker(self.clock)

    def test_stated_era_counts_although_the_revision_is_lower(self) -> None:
        """Guards against dropping what is written after a return."""
        position = self.eras.resolve(3, 870, Position(2, 900))
        self.assertEqual(position, Position(3, 870))
        self.assertGreater(position, Position(2, 900))

    def test_lower_revision_without_an_era_is_a_return(self) -> None:
        """Guards against missing the return of a store that states no era."""
        position = self.eras.resolve(None, 870, Position(2, 900))
        self.assertEqual(position, Position(3, 870))

    def test_answer_without_an_era_belongs_to_the_known_one(self) -> None:
        """Guards against a return that is counted without a reason."""
        position = self.eras.resolve(None, 900, Position(2, 900))
        self.assertEqual(position, Position(2, 900))

    def test_answer_that_was_overtaken_is_no_return(self) -> None:
        """Guards against an alarm about a delayed answer."""
        sent_at = Position(0, 7)
        self.assertEqual(self.eras.resolve(None, 9, sent_at), Position(0, 9))
        self.assertEqual(self.eras.resolve(None, 8, sent_at), Position(0, 8))

    def test_answer_of_a_former_era_is_an_error(self) -> None:
        """Guards against a proof by a store that serves an old copy."""
        with self.assertRaises(StoreEraError):
            self.eras.resolve(1, 950, Position(2, 900))

    def test_lower_revision_in_the_same_era_is_an_error(self) -> None:
        """Guards against trusting an answer that contradicts itself."""
        with self.assertRaises(StoreEraError):
            self.eras.resolve(2, 890, Position(2, 900))

    def test_persistent_contradiction_is_a_return(self) -> None:
        """Guards against a wrong number that stops all reads for good."""
        with self.assertRaises(StoreEraError):
            self.eras.resolve(2, 890, Position(999, 900))
        self.clock.advance(1)
        position = self.eras.resolve(2, 891, Position(999, 900))
        self.assertEqual(position, Position(1000, 891))
        self.assertEqual(
            self.eras.resolve(2, 892, position), Position(1000, 892)
        )
        self.assertEqual(self.eras.resolve(3, 5, position), Position(1001, 5))

    def test_single_contradictions_do_not_add_up(self) -> None:
        """Guards against taking two late answers for a return."""
        for _ in range(2):
            with self.assertRaises(StoreEraError):
                self.eras.resolve(2, 890, Position(2, 900))
            self.eras.resolve(2, 900, Position(2, 900))
            self.clock.advance(60)

    def test_contradictions_far_apart_do_not_add_up(self) -> None:
        """Guards against a return because of two stray answers.

        A VM that is no longer a reader gets no answer in between.
        """
        for _ in range(2):
            with self.assertRaises(StoreEraError):
                self.eras.resolve(2, 890, Position(2, 900))
            self.clock.advance(3600)
