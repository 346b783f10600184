"""Tests that a non-idempotent request runs at most once."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.dispatch import WrongReplyError
from jacinthcart.errors import (
    NotSentError,
    OutcomeUnknownError,
    Ran,
    RefusalCode,
    RefusalError,
)
from tests.dispatch.support import (
    S0,
    S1,
    FakeSearcher,
    Fleet,
    make_call,
    run_virtual,
)

FAULTS = ('', 'not_sent', 'reset', 'wrong', 'late', 'shed', 'cold', 'draining')
FAILURES = {
    'not_sent': NotSentError('refused'),
    'reset': OutcomeUnknownError('reset'),
    'wrong': WrongReplyError('crossed'),
}


def _break(searcher: FakeSearcher, fault: str) -> None:
    searcher.failure = FAILURES.get(fault)
    if fault in {'shed', 'cold', 'draining'}:
        searcher.refusal = fault
    if fault == 'late':
        searcher.latency_s = 5
        searcher.on_search = lambda _: _count_run(searcher)


def _count_run(searcher: FakeSearcher) -> None:
    searcher.runs += 1


class SubmitTest(unittest.TestCase):
    """A submit runs at most once and its refusal reports `ran` correctly."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.sampled_from(FAULTS), min_size=3, max_size=3))
    def test_runs_at_most_once_and_not_run_is_true(
        self, faults: list[str]
    ) -> None:
        """Guards against doubled orders and false `not_run`."""

        async def scenario() -> None:
            fleet = Fleet(policy={'hedge_budget': 1, 'retry_budget': 1})
            for searcher, fault in zip(
                fleet.searchers.values(), faults, strict=True
            ):
                _break(searcher, fault)
            call = make_call(is_submit=True)
            refusal = None
            try:
                await fleet.dispatchers[0].run_part(call)
            except RefusalError as error:
                refusal = error
            runs = sum(item.runs for item in fleet.searchers.values())
            self.assertLessEqual(runs, 1)
            if refusal is None or refusal.ran is Ran.UNKNOWN:
                self.assertEqual(runs, 1)
            else:
                self.assertEqual(runs, 0)

        run_virtual(scenario)

    def test_refusal_by_one_searcher_goes_to_another(self) -> None:
        """Guards against refusing a submit while a replica is free."""

        async def scenario() -> None:
            fleet = Fleet()
            for searcher_id in (S0, S1):
                _break(fleet.searchers[searcher_id], 'shed')
            part = await fleet.dispatchers[0].run_part(
                make_call(is_submit=True)
            )
            self.assertEqual(part.missing, {})

        run_virtual(scenario)

    def test_expired_lease_refuses_without_sending(self) -> None:
        """Guards against an isolated VM that continues to send."""

        async def scenario() -> None:
            fleet = Fleet()
            fleet.feeds[0].is_lease_valid = False
            with self.assertRaises(RefusalError) as caught:
                await fleet.dispatchers[0].run_part(make_call(is_submit=True))
            self.assertEqual(caught.exception.code, RefusalCode.NOT_READY)
            self.assertEqual(caught.exception.ran, Ran.NOT_RUN)

        run_virtual(scenario)
