"""Tests of the checks of single answers and of submits."""

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


class AnswerFaultsTest(unittest.TestCase):
    """A wrong answer is named by the rule that it breaks."""

    def find_rules(self, **fields) -> list[str]:
        """Return the rules that an answer with these fields breaks."""
        answer = make_answer(**fields)
        faults = find_answer_violations(make_arrival(), answer)
        return [fault.rule for fault in faults]

    def test_right_answers_pass(self) -> None:
        """Guards against false alarms, also for partial answers."""
        self.assertEqual(self.find_rules(), [])
        self.assertEqual(self.find_rules(missing=(2,)), [])

    def test_hits_of_another_version(self) -> None:
        """Guards against an answer from two snapshots that is not seen."""
        rules = self.find_rules(snapshot=Snapshot(2, 1))
        self.assertEqual(rules, ['one_snapshot'])

    def test_answer_of_another_workspace(self) -> None:
        """Guards against a crossed answer that is not seen."""
        self.assertEqual(self.find_rules(workspace='t/other'), ['own_answer'])

    def test_false_coverage(self) -> None:
        """Guards against each way in which coverage can be untrue."""
        untrue = (
            Coverage(3, 2, (), complete=True),
            Coverage(3, 2, (LATE,), complete=True),
            Coverage(2, 2, (), complete=False),
            Coverage(3, 2, (LATE, LATE), complete=False),
            Coverage(3, 2, (MissingShard(1, 'timeout'),), complete=False),
            Coverage(2, 1, (LATE,), complete=False),
        )
        for coverage in untrue:
            rules = self.find_rules(coverage=coverage)
            self.assertEqual(rules, ['true_coverage'], coverage)


class RunFaultsTest(unittest.TestCase):
    """Rules that only several results or a model of the index show."""

    def test_submit_answered_twice(self) -> None:
        """Guards against a doubled order that is not seen."""
        result = make_result(
            arrival=make_arrival(route=SUBMIT_ROUTE),
            answer=make_answer(request_id='same'),
        )
        faults = find_violations([result, result], accept_every_answer)
        self.assertEqual([fault.rule for fault in faults], ['submit_once'])

    def test_checker_judges_each_answer(self) -> None:
        """Guards against wrong hits that the checker's verdict is lost for."""
        refused = dataclasses.replace(make_result(1), answer=None)
        faults = find_violations(
            [make_result(0), refused],
            lambda arrival, answer: [f'wrong hits for {answer.request_id}'],
        )
        self.assertEqual(len(faults), 1)
        self.assertEqual(faults[0].rule, 'right_answer')
