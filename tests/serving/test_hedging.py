"""Tests of hedges and of retries within the budget."""

import itertools
import random
from unittest import TestCase, mock

from jacinthcart.routing import ExtraSendBudget, SearcherClient
from jacinthcart.serving import SendParameters, compute_hedge_delay_s
from tests.serving.support import (
    Load,
    QueuedSearcher,
    Results,
    create_shard_route,
)
from tests.support import create_route, create_searcher, run_in_virtual_time

_MEDIAN_S = 0.02
_PARAMS = SendParameters()


def _compute_delay(quantile_s: float, time_left_s: float) -> float:
    client = mock.create_autospec(SearcherClient, instance=True)
    client.estimate_median_s.return_value = _MEDIAN_S
    client.latencies = mock.Mock()
    client.latencies.quantile_s.return_value = quantile_s
    return compute_hedge_delay_s(
        client, create_route('a'), time_left_s, _PARAMS
    )


class HedgeDelayTests(TestCase):
    """The hedge delay follows the latency quantile and the target."""

    def test_hedge_follows_the_quantile(self) -> None:
        """Guards against earlier hedges, which could double the load."""
        self.assertEqual(_compute_delay(0.04, 0.1), 0.04)

    def test_hedge_leaves_time_for_its_answer(self) -> None:
        """Guards against late hedges when slow searchers raise the quantile."""
        self.assertAlmostEqual(_compute_delay(0.095, 0.1), 0.1 - 2 * _MEDIAN_S)

    def test_late_request_has_a_minimum_hedge_delay(self) -> None:
        """A request that is late already must not be hedged immediately."""
        self.assertAlmostEqual(
            _compute_delay(0.095, 0),
            _MEDIAN_S * _PARAMS.hedge_min_medians,
        )


async def _ask_once(refused_takes: int) -> Results:
    budget = mock.create_autospec(ExtraSendBudget, instance=True)
    budget.take.side_effect = [*itertools.repeat(False, refused_takes), True]
    route = create_shard_route()
    searchers = [
        QueuedSearcher(
            create_searcher(name, data_centre=data_centre),
            _MEDIAN_S,
            random.Random(1),
            refused_fraction=refused_fraction,
        )
        for name, data_centre, refused_fraction in (
            ('refusing', 'near', 1),
            ('sound', 'far', 0),
        )
    ]
    load = Load(route, searchers, budget)
    await load.run(1, 0.1)
    return load.results


class BudgetTests(TestCase):
    """Until the target of its request, a retry waits for budget."""

    def test_refused_request_waits_for_budget(self) -> None:
        """Guards against failing at once for lack of budget.

        Other requests refill the budget within milliseconds.
        """
        results = run_in_virtual_time(_ask_once, 2)
        self.assertEqual(results.refused, 0)

    def test_request_ends_when_no_budget_comes(self) -> None:
        """The request must not wait until its deadline."""
        results = run_in_virtual_time(_ask_once, 20)
        self.assertEqual(results.refused, 1)
