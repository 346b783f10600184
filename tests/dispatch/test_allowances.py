"""Tests that cold searchers receive no more than they can handle."""

import random
import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.dispatch import Dispatcher
from jacinthcart.errors import OutcomeUnknownError, RefusalError
from jacinthcart.feed import WarmEntry
from tests.dispatch.support import (
    S0,
    FakeSearcher,
    Fleet,
    make_call,
    run_virtual,
)

EAGER = {
    'hedge_quantile': 0.5,
    'hedge_budget': 1,
    'retry_budget': 1,
    'ramp_step_ms': 200,
}
MAX_CONCURRENCY = 4
WORKERS = 5
RESET = OutcomeUnknownError('reset')


class ColdWatch:
    """Detects requests that a cold searcher should not have received.

    A VM learns of a cold start from a response or from its warm table.
    Until then it may have `MAX_CONCURRENCY` requests in flight.
    """

    def __init__(self, fleet: Fleet, searcher: FakeSearcher) -> None:
        """Check the requests of one searcher."""
        self.fleet = fleet
        self.searcher = searcher
        self.warmer = fleet.find_warmer(searcher.searcher_id)
        self.informed: set[int] = set()
        self.uninformed_counts = dict.fromkeys(range(len(fleet.vm_ids)), 0)
        self.violations: list[str] = []
        self.cold_requests = 0
        searcher.on_search = self.check_search
        searcher.on_response = self.record_response

    def turn_cold(self, generation: str) -> None:
        """Make the searcher cold without notifying any VM."""
        self.informed.clear()
        self.uninformed_counts = dict.fromkeys(self.uninformed_counts, 0)
        self.searcher.state = 'cold'
        self.searcher.generation = generation

    def check_search(self, vm: int) -> None:
        """Check one request when it arrives."""
        if self.searcher.state != 'cold':
            return
        self.cold_requests += 1
        table = self.fleet.feeds[vm].warm_by_searcher_id
        entry = table.get(self.searcher.searcher_id)
        if vm not in self.informed and entry is not None and entry.warm:
            self.uninformed_counts[vm] += 1
            if self.uninformed_counts[vm] > MAX_CONCURRENCY:
                self.violations.append(f'vm {vm} exceeded its limit')
        elif vm != self.warmer:
            self.violations.append(f'vm {vm} sent without an allowance')
        elif self.searcher.in_flight_by_vm[vm] > 1:
            self.violations.append('warmer exceeded the cold allowance')

    def record_response(self, vm: int, state: str) -> None:
        """Record that a VM has learned of the cold start."""
        if state == 'cold':
            self.informed.add(vm)


async def _send_requests(
    dispatcher: Dispatcher, source: random.Random, until: float
) -> None:
    while anyio.current_time() < until:
        try:
            await dispatcher.run_part(make_call(0.3))
        except RefusalError:
            await anyio.sleep(0.01)
        await anyio.sleep(source.random() / 20)


async def _run_load(
    fleet: Fleet, seconds: float, tasks: anyio.abc.TaskGroup
) -> None:
    until = anyio.current_time() + seconds
    for dispatcher in fleet.dispatchers:
        tasks.start_soon(dispatcher.run)
        for _ in range(WORKERS):
            tasks.start_soon(_send_requests, dispatcher, fleet.random, until)


def _get_allowance(dispatcher: Dispatcher) -> int:
    return int(dispatcher.describe()[S0]['allowance'])


def _start_calls(
    dispatcher: Dispatcher, count: int, tasks: anyio.abc.TaskGroup
) -> None:
    for _ in range(count):
        tasks.start_soon(dispatcher.run_part, make_call())


class ColdStartTest(unittest.TestCase):
    """Three VMs together respect a cold searcher's allowance."""

    @settings(derandomize=True, deadline=None, max_examples=4)
    @given(st.integers(0, 1000), st.sampled_from(['g1', 'g2']), st.booleans())
    def test_silent_cold_start_stops_all_but_the_warmer(
        self, seed: int, generation: str, refuses: bool
    ) -> None:
        """Guards against load on a cold searcher; its load report is 0."""

        async def scenario() -> None:
            fleet = Fleet(3, policy=EAGER, seed=seed)
            searcher = fleet.searchers[S0]
            watch = ColdWatch(fleet, searcher)
            async with anyio.create_task_group() as tasks:
                await _run_load(fleet, 5, tasks)
                await anyio.sleep(1 + fleet.random.random())
                watch.turn_cold(generation)
                searcher.refusal = 'cold' if refuses else ''
                searcher.latency_s = 0.2
                await anyio.sleep(1.5)
                self.assertFalse(fleet.table[S0].warm)
                self.assertGreater(watch.cold_requests, 3)
                searcher.state = 'warm'
                searcher.refusal = ''
                searcher.latency_s = 0.01
                await anyio.sleep(2)
                self.assertTrue(fleet.table[S0].warm)
                tasks.cancel_scope.cancel()
            self.assertEqual(watch.violations, [])

        run_virtual(scenario)

    def test_new_fleet_ramps_each_searcher(self) -> None:
        """Guards against full load after all VMs were replaced at once."""

        async def scenario() -> None:
            fleet = Fleet(3, policy=EAGER, is_warm=False)
            watches = [
                ColdWatch(fleet, searcher)
                for searcher in fleet.searchers.values()
            ]
            for searcher in fleet.searchers.values():
                searcher.state = 'cold'
            async with anyio.create_task_group() as tasks:
                await _run_load(fleet, 4, tasks)
                await anyio.sleep(1)
                for searcher in fleet.searchers.values():
                    self.assertEqual(searcher.peak_in_flight, 1)
                    searcher.state = 'warm'
                await anyio.sleep(2)
                tasks.cancel_scope.cancel()
            for watch in watches:
                self.assertEqual(watch.violations, [])
            warm = [entry.warm for entry in fleet.table.values()]
            self.assertEqual(warm, [True, True, True])

        run_virtual(scenario)

    def test_ramp_without_traffic_uses_probes(self) -> None:
        """Guards against a searcher staying unused because traffic is low."""

        async def scenario() -> None:
            fleet = Fleet(3, policy=EAGER, is_warm=False)
            async with anyio.create_task_group() as tasks:
                for dispatcher in fleet.dispatchers:
                    tasks.start_soon(dispatcher.run)
                await anyio.sleep(2)
                tasks.cancel_scope.cancel()
            for searcher in fleet.searchers.values():
                self.assertTrue(fleet.table[searcher.searcher_id].warm)
                self.assertEqual(searcher.peak_in_flight, 1)
                self.assertEqual(searcher.messages[0].query, {'probe': True})

        run_virtual(scenario)

    def test_frozen_policy_stops_the_ramp(self) -> None:
        """Guards against a ramp advancing while changes are frozen."""

        async def scenario() -> None:
            frozen = {**EAGER, 'automatic_changes_frozen': True}
            fleet = Fleet(1, policy=frozen, is_warm=False)
            async with anyio.create_task_group() as tasks:
                await _run_load(fleet, 3, tasks)
                await anyio.sleep(3)
                tasks.cancel_scope.cancel()
            for searcher in fleet.searchers.values():
                self.assertEqual(searcher.peak_in_flight, 1)
                self.assertFalse(fleet.table[searcher.searcher_id].warm)

        run_virtual(scenario)

    def test_bad_response_restarts_the_ramp(self) -> None:
        """Guards against raising the allowance while requests fail."""

        async def scenario() -> None:
            fleet = Fleet(1, 1, policy=EAGER, is_warm=False)
            searcher, dispatcher = fleet.searchers[S0], fleet.dispatchers[0]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(dispatcher.run)
                await anyio.sleep(0.3)
                for failure, refusal in ((RESET, ''), (None, 'shed')):
                    self.assertEqual(_get_allowance(dispatcher), 2)
                    searcher.failure = failure
                    searcher.refusal = refusal
                    await dispatcher.run_part(make_call())
                    self.assertEqual(_get_allowance(dispatcher), 1)
                    searcher.failure = None
                    searcher.refusal = ''
                    await anyio.sleep(0.3)
                tasks.cancel_scope.cancel()

        run_virtual(scenario)


class AllowanceTest(unittest.TestCase):
    """Allowances follow responses, settings and the roster."""

    def test_old_response_allows_one_request(self) -> None:
        """Guards against a burst on a searcher that is cold undetected."""

        async def scenario() -> None:
            fleet = Fleet(searcher_count=1)
            searcher = fleet.searchers[S0]
            for _ in range(2):
                searcher.peak_in_flight = 0
                async with anyio.create_task_group() as tasks:
                    _start_calls(fleet.dispatchers[0], 8, tasks)
                    await anyio.sleep(0.005)
                    self.assertEqual(searcher.peak_in_flight, 1)
                    await anyio.sleep(0.01)
                    self.assertEqual(searcher.peak_in_flight, MAX_CONCURRENCY)
                await anyio.sleep(1.1)

        run_virtual(scenario)

    def test_searcher_without_entry_gets_nothing_from_others(self) -> None:
        """Guards against sending before the warmer marks a searcher warm."""

        async def scenario() -> None:
            fleet = Fleet(3, searcher_count=1, is_warm=False)
            for number, dispatcher in enumerate(fleet.dispatchers):
                part = await dispatcher.run_part(make_call())
                is_warmer = number == fleet.find_warmer(S0)
                self.assertEqual(not part.missing, is_warmer)

        run_virtual(scenario)

    def test_gained_ownership_waits_for_the_handover(self) -> None:
        """Guards against two owners while roster revisions overlap."""

        async def scenario() -> None:
            service = {'connection_limit': 8}
            fleet = Fleet(2, 1, service=service)
            owner = fleet.owners[0]
            other = 1 - fleet.vm_ids.index(owner)
            dispatcher = fleet.dispatchers[other]
            fleet.vm_ids.remove(owner)
            fleet.apply()
            await anyio.sleep(29)
            part = await dispatcher.run_part(make_call())
            self.assertEqual(part.missing, {0: 'no_replica', 1: 'no_replica'})
            await anyio.sleep(2)
            part = await dispatcher.run_part(make_call())
            self.assertEqual(part.missing, {})

        run_virtual(scenario)

    def test_started_process_waits_for_the_handover(self) -> None:
        """Guards against two warmers when the previous one still ramps."""

        async def scenario() -> None:
            fleet = Fleet(1, 1, is_warm=False)
            feed = fleet.feeds[0]
            feed.roster_since = anyio.current_time()
            part = await fleet.dispatchers[0].run_part(make_call())
            self.assertEqual(part.missing, {0: 'no_replica', 1: 'no_replica'})
            feed.roster_since -= 30
            part = await fleet.dispatchers[0].run_part(make_call())
            self.assertEqual(part.missing, {})

        run_virtual(scenario)

    def test_vm_outside_the_roster_sends_nothing(self) -> None:
        """Guards against exceeding the searchers' connection limits."""

        async def scenario() -> None:
            fleet = Fleet(1)
            fleet.vm_ids = ['vm-9']
            fleet.apply()
            part = await fleet.dispatchers[0].run_part(make_call())
            self.assertEqual(part.missing, {0: 'no_replica', 1: 'no_replica'})

        run_virtual(scenario)

    def test_lost_post_is_repeated(self) -> None:
        """Guards against losing an entry with one message to control."""

        async def scenario() -> None:
            fleet = Fleet(1, searcher_count=1)
            fleet.posts_to_fail = 3
            fleet.searchers[S0].generation = 'g2'
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.dispatchers[0].run)
                await fleet.dispatchers[0].run_part(make_call())
                await anyio.sleep(0.9)
                self.assertEqual(fleet.table[S0], WarmEntry(1, True, 'g1'))
                await anyio.sleep(2)
                tasks.cancel_scope.cancel()
            self.assertEqual(fleet.table[S0].generation, 'g2')

        run_virtual(scenario)

    def test_changes_are_recorded_with_their_setting(self) -> None:
        """Guards against automatic changes that operators cannot see."""

        async def scenario() -> None:
            fleet = Fleet(1, searcher_count=1, policy=EAGER)
            fleet.searchers[S0].generation = 'g2'
            async with anyio.create_task_group() as tasks:
                await _run_load(fleet, 3, tasks)
                await anyio.sleep(3)
                tasks.cancel_scope.cancel()
            recorded = [
                (decision.action, decision.setting)
                for decision in fleet.decisions[0].list_newest()
            ]
            expected = [
                ('searcher_set_aside', 'cold_allowance'),
                ('ramp_step', 'ramp_step_ms'),
                ('ramp_step', 'ramp_step_ms'),
                ('searcher_warm', 'ramp_step_ms'),
            ]
            self.assertEqual(recorded[: len(expected)], expected)

        run_virtual(scenario)
