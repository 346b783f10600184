"""Tests that the description of a decision agrees with the decision."""

import random
from unittest import TestCase, mock

import anyio

from jacinthcart.errors import RefusalError
from jacinthcart.overload import (
    OverloadControl,
    OverloadMode,
    OverloadParameters,
    QueryDemand,
    QueryKind,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import create_route, run_in_virtual_time

_QUERIES = 200
_DELAY_S_BY_SHARD = {'shard-0': 0.5, 'shard-1': 0.025, 'shard-2': 0.001}


def _create_control() -> OverloadControl:
    client = mock.Mock()
    client.clock = anyio.current_time
    client.table.queue_delays.estimate_s = _DELAY_S_BY_SHARD.__getitem__
    client.table.service_times.estimate_s.return_value = 0.02
    client.table.service_times.get_mean_s.return_value = 0.02
    return OverloadControl(
        client,
        random.Random(1),
        OverloadMode.ON,
        OverloadParameters(),
        Metrics(),
        create_logger('test'),
    )


def _create_query(name: str, priority: int) -> QueryDemand:
    route = create_route(name, shards=tuple(_DELAY_S_BY_SHARD), shares=())
    now = anyio.current_time()
    return QueryDemand(QueryKind(route, priority, 1), now + 0.1, now + 1)


async def _count_admitted(
    control: OverloadControl, *, is_described: bool
) -> int:
    """Return how many of the queries are admitted."""
    admitted = 0
    for _ in range(_QUERIES):
        if is_described:
            control.describe(_create_query('other', 9))
        try:
            await control.admit(_create_query('a', 1))
        except RefusalError:
            continue
        admitted += 1
    return admitted


class OverloadDecisionTests(TestCase):
    """The description must state what is decided on queries."""

    def test_described_fraction_is_admitted(self) -> None:
        """Guards against a description by other rules than the decision's."""

        async def scenario() -> None:
            control = _create_control()
            decision = control.describe(_create_query('a', 1))
            self.assertEqual(decision.decisive_shard, 'shard-1')
            self.assertEqual(decision.delay_s, 0.025)
            self.assertEqual(decision.competing, (('a', 1),))
            self.assertGreater(decision.admitted_fraction, 0.1)
            self.assertLess(decision.admitted_fraction, 0.9)
            admitted = await _count_admitted(control, is_described=False)
            self.assertAlmostEqual(
                admitted, decision.admitted_fraction * _QUERIES, delta=1.01
            )
            again = control.describe(_create_query('a', 1))
            self.assertEqual(
                again.admitted_fraction, decision.admitted_fraction
            )

        run_in_virtual_time(scenario)

    def test_description_does_not_change_decisions(self) -> None:
        """Guards against a described query that counts as demand."""

        async def scenario() -> None:
            counts = [
                await _count_admitted(_create_control(), is_described=described)
                for described in (False, True)
            ]
            self.assertEqual(counts[0], counts[1])

        run_in_virtual_time(scenario)
