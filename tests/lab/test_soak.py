"""Tests of the soak: its checks find what they are for, and a short run.

The run has a fixed seed; what happens when is up to the machine, so it
checks promises that hold at any speed.
"""

import dataclasses
import random
from unittest import TestCase, mock

import anyio

from jacinthcart.serving import merge_records
from jacinthcart_emulator.platform_searcher import Execution, create_part
from jacinthcart_lab.platform_deployment import PlatformDeployment
from jacinthcart_lab.soak import SoakParameters, run_soak
from jacinthcart_lab.soak._checks import Call, check_calls
from jacinthcart_lab.soak._faults import SoakFaults
from tests.support import run_in_virtual_time

_SHARDS = ['shard0', 'shard1']
_KEY_BOUND_S = 3.0


def create_search(request_id: str = 'r1') -> Call:
    """Return a whole answer to a search."""
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
    """Return one run at a searcher."""
    return Execution(request_id, 's', service, 'mill', '/order/x', 100.0)


def check(
    calls: list[Call],
    executions: list[Execution],
    revoked_at: float | None = None,
) -> list[str]:
    """Return the broken promises."""
    revoked = {} if revoked_at is None else {'key-1': revoked_at}
    return check_calls(calls, executions, _SHARDS, revoked, _KEY_BOUND_S)


class CheckCallsTests(TestCase):
    """Each promise is checked from outside of the system."""

    def test_whole_answers_break_nothing(self) -> None:
        """A calm run must have no findings."""
        runs = [create_execution('r1', one) for one in _SHARDS]
        self.assertEqual(check([create_search()], runs), [])

    def test_part_of_another_request_is_found(self) -> None:
        """Crossed answers are what stamps are for."""
        call = dataclasses.replace(
            create_search(),
            stamps=('shard0.r1', 'shard1.r2'),
        )
        self.assertTrue(check([call], [create_execution('r1')]))

    def test_untrue_count_of_missing_parts_is_found(self) -> None:
        """Coverage must be told truly."""
        call = dataclasses.replace(create_search(), missing=1)
        self.assertTrue(check([call], []))

    def test_second_run_of_an_order_is_found(self) -> None:
        """An order runs once at most."""
        call = Call('r1', 'order', 'key-1', 0, 100, 101, 502)
        runs = [create_execution('r1'), create_execution('r1')]
        self.assertTrue(check([call], runs))

    def test_untrue_refusal_is_found(self) -> None:
        """A refusal that promises `not run` must be true."""
        call = Call('r1', 'order', 'key-1', 0, 100, 101, 503)
        self.assertTrue(check([call], [create_execution('r1')]))

    def test_run_on_a_withdrawn_key_is_found(self) -> None:
        """A key stops within its bound."""
        call = Call('r1', 'order', 'key-1', 0, 100, 101, 502)
        self.assertTrue(check([call], [create_execution('r1')], 96.0))
        self.assertFalse(check([call], [create_execution('r1')], 98.0))

    def test_request_that_nobody_sent_is_found(self) -> None:
        """Searchers run only what callers asked."""
        self.assertTrue(check([], [create_execution('r9')]))


class SoakFaultsTests(TestCase):
    """Faults overlap."""

    def test_searcher_that_crashes_while_it_drains_stays_away(self) -> None:
        """Seed 3012 ended the soak when the drained searcher returned."""
        run_in_virtual_time(self._crash_while_draining)

    async def _crash_while_draining(self) -> None:
        deployment = mock.create_autospec(PlatformDeployment, instance=True)
        deployment.searchers_by_id = {'shard0-2': mock.Mock()}
        faults = SoakFaults(deployment, [], random.Random(1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(faults._drain_searcher)
            await anyio.sleep(0.1)
            deployment.searchers_by_id.clear()
        states = [
            call.args[1:] for call in deployment.publish_searcher.call_args_list
        ]
        self.assertEqual(states, [('draining',)])


class SoakTests(TestCase):
    """Real processes keep the promises under a seeded series of faults."""

    def test_short_soak_breaks_nothing(self) -> None:
        """Signals, a proxy before the store, searchers that fail."""
        report = run_soak(SoakParameters(seed=7, seconds=5, vms=3))
        self.assertEqual(report.broken, [])
