"""Tests of the soak: each check detects its violation, and a short run passes.

The run has a fixed seed, but its timing depends on the machine, so it checks
guarantees that hold at any speed.
"""

import dataclasses
import random
from unittest import TestCase, mock

import anyio

from jacinthcart.serving import merge_records
from jacinthcart_emulator.platform_searcher import (
    Arrival,
    Execution,
    create_part,
)
from jacinthcart_lab.platform_deployment import PlatformDeployment
from jacinthcart_lab.soak import SoakParameters, run_soak
from jacinthcart_lab.soak._checks import Call, check_calls
from jacinthcart_lab.soak._searcher_faults import SearcherFaults
from jacinthcart_lab.soak._statement_checks import StatementChecker
from tests.support import run_in_virtual_time

_SHARDS = ['shard0', 'shard1']
_KEY_BOUND_S = 3.0


def create_search(request_id: str = 'r1') -> Call:
    """Return a complete answer to a search."""
    parts = [create_part(one, request_id, 6) for one in _SHARDS]
    return Call(
        request_id,
        'search',
        'key-1',
        0,
        100.0,
        100.1,
        200,
        tuple(f'{one}.{request_id}' for one in _SHARDS),
        0,
        merge_records(parts, 5),
    )


def create_execution(request_id: str, service: str = 'orders') -> Execution:
    """Return one execution by a searcher."""
    return Execution(request_id, 's', service, 'mill', '/order/x', 100.0)


def check(
    calls: list[Call],
    executions: list[Execution],
    revoked_at: float | None = None,
) -> list[str]:
    """Return the violated guarantees."""
    revoked = {} if revoked_at is None else {'key-1': revoked_at}
    return check_calls(calls, executions, _SHARDS, revoked, _KEY_BOUND_S)


class CheckCallsTests(TestCase):
    """Each guarantee is checked from outside the system."""

    def test_complete_answers_have_no_violations(self) -> None:
        """Guards against false positives without faults."""
        executions = [create_execution('r1', one) for one in _SHARDS]
        self.assertEqual(check([create_search()], executions), [])

    def test_part_of_another_request_is_found(self) -> None:
        """Guards against merging the part of another request."""
        call = dataclasses.replace(
            create_search(),
            stamps=('shard0.r1', 'shard1.r2'),
        )
        self.assertTrue(check([call], [create_execution('r1')]))

    def test_wrong_count_of_missing_parts_is_found(self) -> None:
        """Guards against answers that report too many missing parts."""
        call = dataclasses.replace(create_search(), missing=1)
        self.assertTrue(check([call], []))

    def test_second_run_of_an_order_is_found(self) -> None:
        """Guards against an order that runs twice."""
        call = Call('r1', 'order', 'key-1', 0, 100, 101, 502)
        executions = [create_execution('r1'), create_execution('r1')]
        self.assertTrue(check([call], executions))

    def test_false_refusal_is_found(self) -> None:
        """Guards against refusing an order as `not run` after it ran."""
        call = Call('r1', 'order', 'key-1', 0, 100, 101, 503)
        self.assertTrue(check([call], [create_execution('r1')]))

    def test_status_that_is_not_final_is_found(self) -> None:
        """Guards against a malformed answer that reaches a caller."""
        for status in (99, 103, 600):
            call = Call('r1', 'order', 'key-1', 0, 100, 101, status)
            self.assertTrue(check([call], [create_execution('r1')]))

    def test_run_on_a_revoked_key_is_found(self) -> None:
        """Guards against requests that run on a key revoked too long ago."""
        call = Call('r1', 'order', 'key-1', 0, 100, 101, 502)
        self.assertTrue(check([call], [create_execution('r1')], 96.0))
        self.assertFalse(check([call], [create_execution('r1')], 98.0))

    def test_request_that_nobody_sent_is_found(self) -> None:
        """Guards against searchers that run requests no caller sent."""
        self.assertTrue(check([], [create_execution('r9')]))


class StatementCheckerTests(TestCase):
    """Arrivals that contradict the searchers' statements are found."""

    def test_request_to_a_leaving_searcher_is_found(self) -> None:
        """Guards against a VM that forgets that a searcher leaves."""
        late = dataclasses.replace(create_search('r2'), sent_at=101.0)
        calls = [create_search(), late]
        arrivals = [self._create('r1', 100.0), self._create('r2', 101.0)]
        checker = StatementChecker(calls, arrivals, {0: [90.0]})
        self.assertEqual(len(checker.check()), 1)
        restarted = StatementChecker(calls, arrivals, {0: [100.5]})
        self.assertEqual(restarted.check(), [])

    def test_requests_within_a_named_delay_are_found(self) -> None:
        """Two may arrive, so the third one is a violation."""
        ids = ['r1', 'r2', 'r3', 'r4']
        calls = [create_search(one) for one in ids]
        arrivals = [
            Arrival('r1', 's', 'shard0', 100.0, False, 3.0),
            *(
                Arrival(one, 's', 'shard0', 101.0, False, None)
                for one in ids[1:]
            ),
        ]
        checker = StatementChecker(calls, arrivals, {})
        self.assertEqual(len(checker.check()), 1)
        checker = StatementChecker(calls, arrivals[:-1], {})
        self.assertEqual(checker.check(), [])

    def _create(self, request_id: str, at: float) -> Arrival:
        return Arrival(request_id, 's', 'shard0', at, True, None)


class SearcherFaultsTests(TestCase):
    """A fault may hit a searcher that another fault is affecting."""

    def test_crashed_searcher_is_not_published_after_its_drain(self) -> None:
        """Guards against an error when a drained searcher has crashed.

        With seed 3012, this error ended the soak.
        """
        run_in_virtual_time(self._crash_while_draining)

    async def _crash_while_draining(self) -> None:
        deployment = mock.create_autospec(PlatformDeployment, instance=True)
        deployment.searchers_by_id = {'shard0-2': mock.Mock()}
        faults = SearcherFaults(deployment, random.Random(1), mock.Mock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(faults.drain, 1)
            await anyio.sleep(0.1)
            deployment.searchers_by_id.clear()
        states = [
            call.args[1:] for call in deployment.publish_searcher.call_args_list
        ]
        self.assertEqual(states, [('draining',)])


class SoakTests(TestCase):
    """Real processes keep the guarantees under seeded faults."""

    def test_short_soak_has_no_violations(self) -> None:
        """Guards against violations under overlapping faults.

        Injects signals, store faults, proxy faults and searcher faults.
        """
        report = run_soak(SoakParameters(seed=7, seconds=5, vms=3))
        self.assertEqual(report.violations, [])

    def test_short_soak_with_a_last_return_has_no_violations(self) -> None:
        """Guards against a fleet that ignores what follows a return."""
        report = run_soak(
            SoakParameters(seed=9, seconds=5, vms=3, has_last_return=True)
        )
        self.assertEqual(report.violations, [])
