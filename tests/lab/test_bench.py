"""Tests of how the benchmarks check answers and count refusals."""

import dataclasses
import pathlib
import unittest

from jacinthcart.load import RouteLoad
from jacinthcart_emulator import compute_hits, merge_hits
from jacinthcart_lab import Fleet, build_voskovka
from jacinthcart_lab._cold import compute_last_incomplete_ms
from jacinthcart_lab._oracle import create_answer_checker
from jacinthcart_lab._wrongful_refusals import find_within_rate
from tests.load.samples import make_answer, make_arrival, make_result

ROUTE = RouteLoad(
    route='voskovka/katalog-search',
    kind='search',
    request_class='priority',
)
QUERY = {'text': 'x'}


class AnswerCheckerTest(unittest.TestCase):
    """Answers are checked against the emulated index."""

    def setUp(self) -> None:
        """Create a fleet without starting it."""
        fleet = Fleet(pathlib.Path('run'), (build_voskovka(0.3),), 1)
        self.check = create_answer_checker(fleet)
        self.arrival = make_arrival(route=ROUTE)

    def make_hits(self, *shards: int) -> tuple:
        """Return the merged hits of `shards`."""
        hits = [
            hit for shard in shards for hit in compute_hits(QUERY, shard, 1)
        ]
        return tuple(merge_hits(hits, 10))

    def test_right_answers_pass(self) -> None:
        """Guards against false positives, also for partial answers."""
        complete = make_answer((0, 1, 2), hits=self.make_hits(0, 1, 2))
        partial = make_answer((0, 2), (1,), hits=self.make_hits(0, 2))
        self.assertEqual(self.check(self.arrival, complete), [])
        self.assertEqual(self.check(self.arrival, partial), [])

    def test_wrong_answers_are_named(self) -> None:
        """Guards against undetected lost hits and wrong shard counts."""
        lost = make_answer((0, 1, 2), hits=self.make_hits(0, 1))
        fewer = make_answer((0, 1), hits=self.make_hits(0, 1, 2))
        self.assertTrue(self.check(self.arrival, lost))
        self.assertTrue(self.check(self.arrival, fewer))


class FiguresTest(unittest.TestCase):
    """Values in the tables of the benchmarks."""

    def test_ideal_bucket_decides_what_is_wrongful(self) -> None:
        """Guards against counting refusals over the rate as wrongful."""
        results = [make_result(number, sent_s=1) for number in range(7)]
        results.append(make_result(7, sent_s=1.25))
        found = find_within_rate(results, rate=4, burst=5)
        numbers = [one.arrival.number for one in found]
        self.assertEqual(numbers, [0, 1, 2, 3, 4, 7])

    def test_last_incomplete_answer_ends_the_recovery(self) -> None:
        """Guards against a recovery time that ignores partial answers."""
        partial = make_answer((0,), (1,))
        results = [
            make_result(0, sent_s=5),
            make_result(1, sent_s=6, answer=partial),
            make_result(2, sent_s=7),
        ]
        self.assertEqual(compute_last_incomplete_ms(results), 1000)
        failed = dataclasses.replace(results[2], answer=None)
        self.assertEqual(
            compute_last_incomplete_ms([*results[:2], failed]),
            2000,
        )
        self.assertEqual(compute_last_incomplete_ms(results[:1]), 0)
