"""Tests of the extra-send budget."""

import unittest

from hypothesis import given, settings, strategies

from jacinthcart.routing import BudgetParameters, ExtraSendBudget
from tests.support import ManualClock

_WINDOW = 100
_TERMS = BudgetParameters(ratio=0.2, slack=56)


def create_budget(
    age_s: float = 60,
    members: int = 8,
) -> ExtraSendBudget:
    """Return the budget of a process that started `age_s` seconds ago."""
    clock = ManualClock()
    budget = ExtraSendBudget(_TERMS, lambda: 1 / members, clock)
    clock.advance(age_s)
    return budget


class ExtraSendBudgetTests(unittest.TestCase):
    """The fleet's extra sends stay within the budget in every window."""

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        strategies.integers(1, 20),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 19), strategies.booleans()
            ),
            min_size=1,
            max_size=600,
        ),
    )
    def test_no_window_exceeds_the_budget(
        self,
        members: int,
        events: list[tuple[int, bool]],
    ) -> None:
        """Each VM counts alone; the sum must hold for the fleet."""
        budgets = [create_budget(members=members) for _ in range(members)]
        history = []
        for member, is_first in events:
            budget = budgets[member % members]
            if is_first:
                budget.earn('shard-0')
                history.append((1, 0))
            else:
                taken = budget.take('shard-0')
                history.append((0, int(taken)))
        for start in range(0, max(1, len(history) - _WINDOW)):
            window = history[start : start + _WINDOW]
            first = sum(one for one, _ in window)
            extra = sum(one for _, one in window)
            least = max(_TERMS.slack, members)
            self.assertLessEqual(extra, _TERMS.ratio * first + least)

    def test_restarted_process_has_little_budget(self) -> None:
        """Guards against a restart that spends a window's budget twice."""
        budget = create_budget(age_s=1)
        self.assertTrue(budget.take('shard-0'))
        self.assertFalse(budget.take('shard-0'))

    def test_hedges_leave_a_reserve_for_retries(self) -> None:
        """Retrying a refused request is more urgent than a hedge."""
        budget = create_budget()
        self._spend(budget, 0.5)
        self.assertTrue(budget.take('shard-0'))

    def test_services_have_separate_budgets(self) -> None:
        """Spending the budget of one shard does not affect another shard."""
        budget = create_budget()
        self._spend(budget, 0)
        self.assertTrue(budget.take('shard-1'))

    def _spend(self, budget: ExtraSendBudget, reserve: float) -> None:
        is_left = True
        while is_left:
            is_left = budget.take('shard-0', reserve)
