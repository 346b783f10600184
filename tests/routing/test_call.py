"""Tests of attempts to send a request."""

import functools
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.program import Clock
from jacinthcart.routing import (
    Attempt,
    BaseSearcherCodec,
    CallContext,
    HealthTracker,
    OutcomeKind,
    QuantileTracker,
    ResponseHead,
    RoutingTable,
    SearcherClient,
    SearcherPools,
    SearcherResponse,
)
from jacinthcart.routing._request_memory import RequestMemory
from jacinthcart.routing._service_times import ServiceTimes
from jacinthcart.telemetry import Metrics
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
        self.connection = mock.Mock(
            exchange=mock.AsyncMock(), has_unfinished_response=False
        )
        self.metrics = Metrics()
        self.logger = mock.Mock()
        self.on_end = mock.Mock()
        self.pools = mock.create_autospec(SearcherPools, instance=True)
        self.pools.acquire.return_value = self.connection
        self.pools.request_memory = RequestMemory(1_000_000, lambda: 1.0)
        health_tracker = HealthTracker(clock)
        table = mock.create_autospec(RoutingTable, instance=True)
        table.get_health.return_value = health_tracker.get_or_create(('s', 1))
        table.availability = mock.Mock()
        table.service_times = mock.create_autospec(ServiceTimes)
        self.client = SearcherClient(
            self.pools,
            table,
            health_tracker,
            QuantileTracker(),
            mock.create_autospec(BaseSearcherCodec, instance=True),
            clock,
            self.metrics,
            self.logger,
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
                context, create_searcher('s'), self.on_end
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

    def test_error_in_recording_an_outcome_is_an_unknown_outcome(self) -> None:
        """Guards against an error that ends all attempts of the process."""

        async def exchange(
            fixture: _Fixture, *arguments: Any, **keywords: Any
        ) -> SearcherResponse:
            head = ResponseHead(503, ())
            return SearcherResponse(head, b'', None, True, None, None, False)

        with mock.patch.object(
            HealthTracker, 'record_shed', side_effect=ValueError
        ):
            fixture, attempt = run_in_virtual_time(_run, None, exchange)
        fixture.on_end.assert_called_once_with(attempt)
        self.assertIs(attempt.outcome.kind, OutcomeKind.UNKNOWN)
        self.assertTrue(attempt.may_have_run)
        self._check_error(fixture)

    def test_error_of_a_listener_ends_no_other_attempt(self) -> None:
        """Guards against an error that ends all attempts of the process."""

        async def exchange(
            fixture: _Fixture, *arguments: Any, **keywords: Any
        ) -> None:
            fixture.on_end.side_effect = ValueError
            raise OutcomeUnknownError('connection closed')

        fixture, attempt = run_in_virtual_time(_run, None, exchange)
        fixture.on_end.assert_called_once_with(attempt)
        self._check_error(fixture)

    def _check_error(self, fixture: _Fixture) -> None:
        self.assertEqual(
            fixture.metrics.counts_by_key,
            {('searcher', 'internal_error'): 1, ('searcher', 'unknown'): 1},
        )
        fixture.logger.error.assert_called_once()


async def _run(acquire: Any, exchange: Any) -> tuple[_Fixture, Attempt]:
    fixture = _Fixture(anyio.current_time)
    if acquire is not None:
        fixture.pools.acquire.side_effect = functools.partial(acquire, fixture)
    if exchange is not None:
        fixture.connection.exchange.side_effect = functools.partial(
            exchange, fixture
        )
    return fixture, await fixture.run()
