"""Tests of attempts to send a request."""

import functools
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.program import Clock
from jacinthcart.routing import (
    Attempt,
    BaseSearcherCodec,
    CallContext,
    HealthTracker,
    QuantileTracker,
    RoutingTable,
    SearcherClient,
    SearcherPools,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import (
    create_request,
    create_route,
    create_searcher,
    run_in_virtual_time,
)


class _Fixture:
    """A client whose connections are opened by the test."""

    def __init__(self, clock: Clock) -> None:
        """Create a client that is not running."""
        self.connection = mock.Mock(exchange=mock.AsyncMock())
        self.pools = mock.create_autospec(SearcherPools, instance=True)
        self.pools.acquire.return_value = self.connection
        health_tracker = HealthTracker(clock)
        table = mock.create_autospec(RoutingTable, instance=True)
        table.get_health.return_value = health_tracker.get_or_create(('s', 1))
        table.availability = mock.Mock()
        self.client = SearcherClient(
            self.pools,
            table,
            health_tracker,
            QuantileTracker(),
            mock.create_autospec(BaseSearcherCodec, instance=True),
            clock,
            Metrics(),
            create_logger('test'),
        )
        self.attempt: Attempt | None = None

    async def run(self) -> Attempt:
        """Send a request and return the attempt after its end."""
        now = anyio.current_time()
        context = CallContext(
            create_request(now), create_route('a'), None, now + 1, lambda: True
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.client.run)
            await anyio.sleep(0.1)
            self.attempt = self.client.start(
                context, create_searcher('s'), mock.Mock()
            )
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        return self.attempt


class AttemptTests(TestCase):
    """An attempt knows whether a searcher may have run its request."""

    def test_attempt_cancelled_as_its_connection_opens_sends_nothing(
        self,
    ) -> None:
        """Guards against a refusal as `not run` of a request that is sent."""

        async def acquire(
            fixture: _Fixture, *arguments: Any, **keywords: Any
        ) -> mock.Mock:
            assert fixture.attempt is not None
            fixture.client.cancel(fixture.attempt)
            return fixture.connection

        fixture, attempt = run_in_virtual_time(_run, acquire, None)
        fixture.connection.exchange.assert_not_awaited()
        self.assertFalse(attempt.may_have_run)

    def test_attempt_may_have_run_from_before_its_first_byte(self) -> None:
        """Guards against a refusal as `not run` after bytes may have left."""
        seen = []

        async def exchange(
            fixture: _Fixture, *arguments: Any, **keywords: Any
        ) -> None:
            assert fixture.attempt is not None
            seen.append(fixture.attempt.may_have_run)
            fixture.client.cancel(fixture.attempt)
            await anyio.sleep(1)

        _, attempt = run_in_virtual_time(_run, None, exchange)
        self.assertEqual(seen, [True])
        self.assertTrue(attempt.may_have_run)


async def _run(acquire: Any, exchange: Any) -> tuple[_Fixture, Attempt]:
    fixture = _Fixture(anyio.current_time)
    if acquire is not None:
        fixture.pools.acquire.side_effect = functools.partial(acquire, fixture)
    if exchange is not None:
        fixture.connection.exchange.side_effect = functools.partial(
            exchange, fixture
        )
    return fixture, await fixture.run()
