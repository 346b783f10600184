"""Tests of hedging and retries and their budgets."""

import random
import unittest

import anyio

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.feed import WarmEntry
from tests.dispatch.support import (
    S0,
    Fleet,
    make_call,
    run_virtual,
)

REQUESTS = 1000


async def _run_with_stragglers(fleet: Fleet, share: float) -> None:
    """Run requests sequentially; a fraction of them is slow."""
    source = random.Random(2)

    def draw_latency_s() -> float:
        return 0.1 if source.random() < share else 0.01

    for searcher in fleet.searchers.values():
        searcher.draw_latency_s = draw_latency_s
    for _ in range(REQUESTS):
        part = await fleet.dispatchers[0].run_part(make_call())
        assert not part.missing


def _count(fleet: Fleet, name: str) -> int:
    return fleet.metrics[0].counts_by_key[name, 'team/katalog']


class HedgingTest(unittest.TestCase):
    """Hedges reduce tail latency within their budget."""

    def test_straggler_is_hedged_and_cancelled(self) -> None:
        """Guards against waiting for a straggler or leaving it running."""

        async def scenario() -> None:
            fleet = Fleet()
            await _run_with_stragglers(fleet, 0.02)
            cancelled = sum(item.cancelled for item in fleet.searchers.values())
            self.assertGreater(cancelled, 5)
            running = sum(item.in_flight for item in fleet.searchers.values())
            self.assertEqual(running, 0)

        run_virtual(scenario)

    def test_copy_at_a_searcher_that_is_warmed_is_not_cancelled(self) -> None:
        """Guards against exceeding a cold searcher's allowance.

        A searcher may continue a cancelled request, so another request would
        run in addition to it.
        """

        async def scenario() -> None:
            fleet = Fleet(
                policy={
                    'hedge_quantile': 0.5,
                    'hedge_budget': 1,
                    'ramp_step_ms': 60000,
                    'evidence_max_age_ms': 60000,
                },
                service={'cold_allowance': 1},
            )
            fleet.table[S0] = WarmEntry(2, warm=False, generation='g1')
            fleet.apply()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.dispatchers[0].run)
                await _run_with_stragglers(fleet, 0.3)
                tasks.cancel_scope.cancel()
            self.assertGreater(len(fleet.searchers[S0].messages), 5)
            self.assertGreater(_count(fleet, 'hedge'), 5)
            self.assertEqual(fleet.searchers[S0].cancelled, 0)

        run_virtual(scenario)

    def test_hedges_stay_within_their_budget(self) -> None:
        """Guards against hedges doubling the load if all requests are slow."""

        async def scenario() -> None:
            fleet = Fleet(
                policy={'hedge_quantile': 0.5, 'hedge_budget': 0.03},
            )
            await _run_with_stragglers(fleet, 0.4)
            hedges = _count(fleet, 'hedge')
            self.assertGreater(hedges, 0)
            self.assertLessEqual(hedges, 0.03 * REQUESTS)
            sent = _count(fleet, 'searcher_request')
            self.assertEqual(sent, REQUESTS + hedges)

        run_virtual(scenario)

    def test_frozen_policy_sends_no_hedge(self) -> None:
        """Guards against hedging while automatic changes are frozen."""

        async def scenario() -> None:
            fleet = Fleet(policy={'automatic_changes_frozen': True})
            await _run_with_stragglers(fleet, 0.05)
            self.assertEqual(_count(fleet, 'hedge'), 0)

        run_virtual(scenario)

    def test_hedges_are_recorded_in_aggregate(self) -> None:
        """Guards against hedges displacing all other decision records."""

        async def scenario() -> None:
            fleet = Fleet()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.dispatchers[0].run)
                await _run_with_stragglers(fleet, 0.05)
                await anyio.sleep(2)
                tasks.cancel_scope.cancel()
            actions = [
                decision.action
                for decision in fleet.decisions[0].list_newest()
                if decision.action == 'hedge'
            ]
            self.assertGreater(len(actions), 0)
            self.assertLess(len(actions), _count(fleet, 'hedge'))

        run_virtual(scenario)


class RetryTest(unittest.TestCase):
    """Failed requests are retried on other replicas within the budget."""

    def test_failed_searcher_costs_no_coverage(self) -> None:
        """Guards against missing shards after the loss of one replica."""

        async def scenario() -> None:
            fleet = Fleet()
            fleet.searchers[S0].failure = OutcomeUnknownError('reset')
            for _ in range(200):
                part = await fleet.dispatchers[0].run_part(make_call())
                self.assertEqual(part.missing, {})

        run_virtual(scenario)

    def test_retries_stay_within_their_budget(self) -> None:
        """Guards against a retry storm when every searcher fails."""

        async def scenario() -> None:
            fleet = Fleet(policy={'retry_budget': 0.1})
            for searcher in fleet.searchers.values():
                searcher.failure = OutcomeUnknownError('reset')
            for _ in range(REQUESTS):
                await fleet.dispatchers[0].run_part(make_call())
            retries = _count(fleet, 'searcher_request') - REQUESTS
            # The initial budget grants ten retries.
            self.assertLessEqual(retries, 0.1 * REQUESTS + 10)

        run_virtual(scenario)
