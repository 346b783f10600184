"""Fault injection runs of a fleet, and the refusals of one experiment."""

import itertools
import unittest

from hypothesis import Phase, given, settings, strategies

from jacinthcart_lab.limits_chaos import (
    VM_COUNT,
    Fault,
    FaultStep,
    run_chaos,
)
from jacinthcart_lab.limits_experiment import (
    LimitsExperiment,
    run_limits_experiment,
)
from jacinthcart_lab.limits_oracle import (
    LimitInForce,
    compute_exact_excess,
    compute_excess,
)
from jacinthcart_lab.limits_tight import TightFault, run_tight

FAULTS = strategies.lists(
    strategies.builds(
        FaultStep,
        gap_s=strategies.floats(0, 0.4),
        fault=strategies.sampled_from(Fault),
        vm_number=strategies.integers(0, VM_COUNT - 1),
        amount=strategies.floats(0, 1),
    ),
    min_size=3,
    max_size=5,
)


class FleetTest(unittest.TestCase):
    """The fleet enforces rate and burst and rarely refuses within them."""

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=3,
        phases=[Phase.generate],
    )
    @given(
        seed=strategies.integers(0, 2**32),
        faults=FAULTS,
    )
    def test_no_window_exceeds_rate_and_burst(
        self,
        seed: int,
        faults: list[FaultStep],
    ) -> None:
        """Guards against tokens that are used twice or too late."""
        self.assertEqual(run_chaos(seed, faults).excess, 0)

    def test_restarts_at_full_demand_keep_the_exact_bound(self) -> None:
        """Guards against buckets that start full."""
        figures = run_tight(1, [TightFault.RESTART_ALL])
        self.assertEqual(figures.excess, 0)

    def test_pauses_at_full_demand_keep_the_exact_bound(self) -> None:
        """Guards against permits that are used after their lifetime."""
        figures = run_tight(1, list(itertools.repeat(TightFault.PAUSE_ALL, 4)))
        self.assertEqual(figures.excess, 0)

    def test_loans_at_full_demand_keep_the_exact_bound(self) -> None:
        """Guards against a lender that does not debit its bucket."""
        figures = run_tight(1, [TightFault.NONE, TightFault.NONE])
        self.assertEqual(figures.excess, 0)

    def test_refusals_within_the_rate_stay_below_the_target(self) -> None:
        """Guards against lending that does not cover skewed demand.

        The bounds are the targets of docs/design.md, section 1.
        """
        figures = run_limits_experiment(
            LimitsExperiment(seed=1, calm_s=5),
        )
        self.assertLess(figures.calm_refused, 0.001)
        self.assertLess(figures.loss_refused, 0.01)
        self.assertEqual(figures.excess, 0)

    def test_oracle_sees_one_request_too_many(self) -> None:
        """Guards against an oracle that accepts everything."""
        limit = LimitInForce(0, 10, rate=1, burst=2)
        self.assertEqual(compute_excess([1, 1, 2, 9], [limit], 0), 0)
        self.assertGreater(compute_excess([1, 1, 1.9, 9], [limit], 0), 0)
        rates = [(0.0, 1.0), (5.0, 2.0)]
        self.assertEqual(compute_exact_excess([1, 1, 2, 9], rates, 2), 0)
        self.assertGreater(compute_exact_excess([1, 1, 1.9], rates, 2), 0)
        self.assertEqual(compute_exact_excess([4.5, 4.5, 5.25], rates, 2), 0)
