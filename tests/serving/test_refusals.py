"""Tests of what refusals say about requests that got no response."""

import random
from unittest import TestCase, mock

from jacinthcart.catalogue import Route
from jacinthcart.errors import Ran
from jacinthcart.routing import ExtraSendBudget, HealthTracker
from tests.serving.support import (
    Load,
    QueuedSearcher,
    Results,
    create_shard_route,
)
from tests.support import create_route, create_searcher, run_in_virtual_time

#: Longer than any time limit.
_ENDLESS_S = 60.0
_ROUTES = (
    create_shard_route(),
    create_route('a', is_public=True),
    create_route('a', is_public=True, is_idempotent=False),
)


class RefusalTests(TestCase):
    """A refusal says `not run` exactly if no searcher got the request."""

    def test_request_that_waits_for_a_connection_has_not_run(self) -> None:
        """Guards against callers that may not repeat what reached no one.

        A VM that reached no searcher refused all requests as if they might
        have run.
        """
        for route in _ROUTES:
            results, arrivals = _play(route, connect_s=_ENDLESS_S)
            self.assertEqual(arrivals, 0)
            self._check(results, Ran.NOT_RUN)

    def test_request_that_a_searcher_holds_may_have_run(self) -> None:
        """Guards against callers that repeat a request that still runs."""
        for route in _ROUTES:
            results, _ = _play(route, service_time_s=_ENDLESS_S)
            self._check(results, Ran.UNKNOWN)

    def test_request_that_all_searchers_refused_has_not_run(self) -> None:
        """Guards against taking an attempt that was refused for a run."""
        for route in _ROUTES:
            results, arrivals = _play(route, refused_fraction=1)
            self.assertGreater(arrivals, 0)
            self._check(results, Ran.NOT_RUN)

    def test_error_in_an_attempt_ends_its_request_alone(self) -> None:
        """Guards against an error in one attempt that ends the process.

        The errors arise while an outcome is recorded and while the request
        handles it. Neither may lead to another send of a request that may run
        only once, nor to its refusal as `not run`.
        """
        for route in _ROUTES:
            for owner, name in (
                (HealthTracker, 'record_shed'),
                (ExtraSendBudget, 'take'),
            ):
                with mock.patch.object(owner, name, side_effect=ValueError):
                    results, arrivals = _play(route, refused_fraction=1)
                self._check(results, Ran.UNKNOWN)
                if not route.is_idempotent:
                    self.assertEqual(arrivals, results.total)

    def _check(self, results: Results, ran: Ran) -> None:
        self.assertEqual(results.refused, results.total)
        self.assertEqual(set(results.ran), {ran})


def _play(
    route: Route,
    *,
    connect_s: float = 0,
    service_time_s: float = 0,
    refused_fraction: float = 0,
) -> tuple[Results, int]:
    """Return the results of some requests and the number of arrivals."""
    searchers = [
        QueuedSearcher(
            create_searcher(f'shard-0.{number}'),
            service_time_s,
            random.Random(number),
            refused_fraction=refused_fraction,
        )
        for number in range(3)
    ]

    async def play() -> Results:
        load = Load(route, searchers, connect_s=connect_s)
        await load.run(rate_per_s=5, duration_s=2)
        return load.results

    results = run_in_virtual_time(play)
    return results, sum(one.arrivals for one in searchers)
