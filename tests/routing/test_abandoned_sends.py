"""Tests of sends whose response is no longer needed."""

from unittest import TestCase, mock

import anyio

from jacinthcart.routing import (
    BaseSearcherCodec,
    HealthTracker,
    LoadReport,
    QuantileTracker,
    RoutingTable,
    SearcherClient,
    SearcherHealth,
    SearcherPools,
)
from jacinthcart.routing._call import Attempt
from jacinthcart.telemetry import Metrics, create_logger
from tests.serving.support import create_shard_route
from tests.support import create_searcher, run_in_virtual_time

_SLOWDOWN = 2.5


async def _abandon(medians: float) -> SearcherHealth:
    clock = anyio.current_time
    tracker = HealthTracker(clock)
    health = tracker.get_or_create(('i-1', 1))
    table = mock.create_autospec(RoutingTable, instance=True)
    table.get_health.return_value = health
    client = SearcherClient(
        mock.create_autospec(SearcherPools, instance=True),
        table,
        tracker,
        QuantileTracker(),
        mock.create_autospec(BaseSearcherCodec, instance=True),
        clock,
        Metrics(),
        create_logger('test'),
    )
    route = create_shard_route()
    attempt = Attempt(1, create_searcher('i-1'), lambda ended: None)
    attempt.started_at = clock()
    await anyio.sleep(medians * client.estimate_median_s(route))
    tracker.record_load(health, LoadReport(1, 0, 2, _SLOWDOWN))
    client.abandon(attempt, route)
    return health


class AbandonedSendTests(TestCase):
    """The time for which a send has been unanswered, as a sample."""

    def test_wait_within_the_slowdown_is_no_sample(self) -> None:
        """Guards against a slow searcher that looks fast once abandoned."""
        health = run_in_virtual_time(_abandon, 1.2)
        self.assertEqual(health.slowness, 1)

    def test_wait_beyond_the_slowdown_is_a_sample(self) -> None:
        """Guards against a stalled searcher that gets more requests."""
        health = run_in_virtual_time(_abandon, 2 * _SLOWDOWN)
        self.assertGreater(health.slowness, 1.2)
