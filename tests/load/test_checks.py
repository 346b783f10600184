"""Tests of the checks on single answers and submits."""

import dataclasses
import unittest

from jacinthcart.caller import Coverage, MissingShard, Snapshot
from jacinthcart.load import (
    accept_every_answer,
    find_answer_violations,
    find_violations,
)
from tests.load.samples import (
    SUBMIT_ROUTE,
    make_answer,
    make_arrival,
    make_result,
)

LATE = MissingShard(2, 'timeout')


class AnswerViolationsTest(unittest.TestCase):
    """Incorrect answers are reported with the violated rule."""

    def find_rules(self, **fields) -> list[str]:
        """Return the rules violated by an answer with these fields."""
        answer = make_answer(**fields)
        violations = find_answer_violations(make_arrival(), answer)
        return [violation.rule for violation in violations]

    def test_correct_answers_pass(self) -> None:
        """Guards against false positives, also for partial answers."""
        self.assertEqual(self.find_rules(), [])
        self.assertEqual(self.find_rules(missing=(2,)), [])

    def test_hits_of_another_version(self) -> None:
        """Guards against an undetected answer from two snapshots."""
        rules = self.find_rules(snapshot=Snapshot(2, 1))
        self.assertEqual(rules, ['one_snapshot'])

    def test_answer_of_another_workspace(self) -> None:
        """Guards against an undetected answer for another workspace."""
        self.assertEqual(self.find_rules(workspace='t/other'), ['own_answer'])

    def test_inconsistent_coverage(self) -> None:
        """Guards against each kind of inconsistent coverage."""
        inconsistent = (
            Coverage(3, 2, (), complete=True),
            Coverage(3, 2, (LATE,), complete=True),
            Coverage(2, 2, (), complete=False),
            Coverage(3, 2, (LATE, LATE), complete=False),
            Coverage(3, 2, (MissingShard(1, 'timeout'),), complete=False),
            Coverage(2, 1, (LATE,), complete=False),
        )
        for coverage in inconsistent:
            rules = self.find_rules(coverage=coverage)
            self.assertEqual(rules, ['true_coverage'], coverage)


class RunViolationsTest(unittest.TestCase):
    """Violations found across results or by a model of the index."""

    def test_submit_answered_twice(self) -> None:
        """Guards against an undetected duplicate submit."""
        result = make_result(
            arrival=make_arrival(route=SUBMIT_ROUTE),
            answer=make_answer(request_id='same'),
        )
        violations = find_violations([result, result], accept_every_answer)
        self.assertEqual(
            [violation.rule for violation in violations], ['submit_once']
        )

    def test_checker_is_called_for_each_answer(self) -> None:
        """Guards against losing the errors that the checker returns."""
        refused = dataclasses.replace(make_result(1), answer=None)
        violations = find_violations(
            [make_result(0), refused],
            lambda arrival, answer: [f'wrong hits for {answer.request_id}'],
        )
        self.assertEqual(len(violations), 1)
        self.assertEqual(violations[0].rule, 'right_answer')
