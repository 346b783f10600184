"""Tests of the admission of queries in one VM."""

import random
from unittest import TestCase, mock

import anyio

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.overload import (
    BandParameters,
    OverloadControl,
    OverloadMode,
    OverloadParameters,
    QueryDemand,
    QueryKind,
    compute_slack_s,
)
from jacinthcart.routing import HealthTracker, LoadReport
from jacinthcart.routing._cost import estimate_queue_delay_s
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import ManualClock, create_route, run_in_virtual_time

_SHARDS = ('shard-0', 'shard-1')
_ROUTE = create_route('a', target_s=0.3, shards=_SHARDS, shares=())
_TIGHT_ROUTE = create_route('tight', target_s=0.15, shards=_SHARDS, shares=())
_SERVICE_TIME_S = 0.05
#: A queueing delay with which no query is in time.
_HOPELESS_S = 5.0
_ROUNDS = 120


class _Control:
    """A control whose searchers have a given queueing delay."""

    def __init__(self, mode: OverloadMode, delay_s: float) -> None:
        """Create the control; requires a running event loop."""
        client = mock.MagicMock()
        client.clock = anyio.current_time
        self._queue_delays = client.table.queue_delays
        self._queue_delays.estimate_s.return_value = delay_s
        service_times = client.table.service_times
        service_times.estimate_s.return_value = _SERVICE_TIME_S
        service_times.get_mean_s.return_value = _SERVICE_TIME_S
        self.metrics = Metrics()
        self.control = OverloadControl(
            client,
            random.Random(1),
            mode,
            OverloadParameters(),
            self.metrics,
            create_logger('test'),
        )

    async def admit(self, limit_s: float = 1) -> RefusalError | None:
        """Return the refusal of a query, if it is refused."""
        now = anyio.current_time()
        kind = QueryKind(_ROUTE, 1, 0)
        demand = QueryDemand(kind, now + _ROUTE.target_s, now + limit_s)
        try:
            await self.control.admit(demand)
        except RefusalError as refusal:
            return refusal
        return None

    def set_delays(self, *delays_s: float) -> None:
        """Set the queueing delay in seconds of each shard."""
        by_shard = dict(zip(_SHARDS, delays_s, strict=True))
        self._queue_delays.estimate_s.side_effect = by_shard.__getitem__

    def relieve(self) -> None:
        """End the queueing delay."""
        self._queue_delays.estimate_s.return_value = 0

    def count(self, decision: str) -> int:
        """Return the number of decisions on queries of priority 1."""
        return self.metrics.counts_by_key['overload', decision, 'a', '1']


class ModeTests(TestCase):
    """Queries that can't be answered in time."""

    def test_off_neither_refuses_nor_counts(self) -> None:
        """Guards against control that an operator has switched off."""
        run_in_virtual_time(self._check_passing, OverloadMode.OFF, 0)

    def test_observe_counts_and_lets_pass(self) -> None:
        """Guards against refusals while an operator only observes."""
        run_in_virtual_time(self._check_passing, OverloadMode.OBSERVE, 1)

    def test_on_refuses_within_a_tenth_of_the_target(self) -> None:
        """Guards against callers held until their time has run out."""
        run_in_virtual_time(self._check_refusal)

    def test_nothing_changes_without_a_delay(self) -> None:
        """Guards against control of searchers that report no slowdown."""
        health_tracker = HealthTracker(ManualClock())
        health = health_tracker.get_or_create(('i-1', 1))
        health_tracker.record_load(health, LoadReport(2, 30, 2, None))
        delay_s = estimate_queue_delay_s(
            health, now=1000, service_time_s=_SERVICE_TIME_S, slots=2
        )
        self.assertEqual(delay_s, 0)
        run_in_virtual_time(self._check_passing, OverloadMode.ON, 0, delay_s)

    async def _check_passing(
        self, mode: OverloadMode, observed: int, delay_s: float = _HOPELESS_S
    ) -> None:
        control = _Control(mode, delay_s)
        started_at = anyio.current_time()
        self.assertIsNone(await control.admit())
        self.assertEqual(anyio.current_time(), started_at)
        self.assertEqual(control.count('observed'), observed)
        self.assertEqual(control.count('admitted'), 0)

    async def _check_refusal(self) -> None:
        control = _Control(OverloadMode.ON, _HOPELESS_S)
        started_at = anyio.current_time()
        refusal = await control.admit()
        assert refusal is not None
        self.assertEqual(refusal.code, RefusalCode.OVERLOADED)
        held_s = anyio.current_time() - started_at
        self.assertLessEqual(held_s, _ROUTE.target_s / 10 + 0.001)
        self.assertEqual(control.count('refused'), 1)


class ShardTests(TestCase):
    """A queue at one of two shards."""

    def test_queue_at_a_shard_that_others_can_lack(self) -> None:
        """Guards against refusals that protect queries no queue delays."""
        run_in_virtual_time(self._check_optional_shard)

    async def _check_optional_shard(self) -> None:
        control = _Control(OverloadMode.ON, 0)
        fractions = []
        for optional_parts in (1, 0):
            tight = QueryKind(_TIGHT_ROUTE, 0, optional_parts)
            control.set_delays(0, 0)
            now = anyio.current_time()
            await control.control.admit(QueryDemand(tight, now + 0.1, now + 1))
            control.set_delays(0, 0.05)
            query = QueryDemand(QueryKind(_ROUTE, 1, 0), now + 0.3, now + 1)
            decision = control.control.describe(query)
            fractions.append(decision.admitted_fraction)
            self.assertEqual(decision.decisive_shard, _SHARDS[1])
        self.assertEqual(fractions[0], 1)
        self.assertLess(fractions[1], 0.5)


class WaitingTests(TestCase):
    """Queries of which half are admitted."""

    def test_caller_that_leaves_is_removed(self) -> None:
        """Guards against admissions that nobody uses any more."""
        run_in_virtual_time(self._check_leaving)

    async def _check_leaving(self) -> None:
        slack_s = compute_slack_s(_ROUTE, _SERVICE_TIME_S, BandParameters())
        control = _Control(OverloadMode.ON, slack_s * 2 / 3)
        for _ in range(_ROUNDS):
            with anyio.move_on_after(0.001):
                await control.admit()
        before = control.count('admitted')
        for _ in range(_ROUNDS):
            await control.admit()
        admitted = control.count('admitted') - before
        self.assertAlmostEqual(admitted, _ROUNDS / 2, delta=_ROUNDS / 6)
        self.assertLess(control.count('refused'), _ROUNDS)

    def test_query_is_sent_as_soon_as_the_queue_is_gone(self) -> None:
        """Guards against queries refused although new ones would pass."""
        run_in_virtual_time(self._check_relief)

    async def _check_relief(self) -> None:
        control = _Control(OverloadMode.ON, _HOPELESS_S)
        async with anyio.create_task_group() as tasks:
            refusals: list[RefusalError | None] = []

            async def ask() -> None:
                refusals.append(await control.admit())

            tasks.start_soon(ask)
            await anyio.sleep(0.01)
            control.relieve()
        self.assertEqual(refusals, [None])

    def test_caller_without_time_is_refused_at_once(self) -> None:
        """Guards against a wait beyond the caller's own deadline."""
        run_in_virtual_time(self._check_deadline)

    async def _check_deadline(self) -> None:
        control = _Control(OverloadMode.ON, _HOPELESS_S)
        started_at = anyio.current_time()
        self.assertIsNotNone(await control.admit(limit_s=0.01))
        self.assertEqual(anyio.current_time(), started_at)
