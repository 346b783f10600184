"""Tests of requests to a service whose searchers are all cold."""

import random
import unittest

from jacinthcart.catalogue import Searcher
from tests.serving.support import (
    Load,
    QueuedSearcher,
    Results,
    create_shard_route,
)
from tests.support import create_searcher, run_in_virtual_time

_TARGET_S = 0.1
_SERVICE_TIME_S = 0.01
_DURATION_S = 4.0
#: Rate limit of the cold searcher in requests per second; a single VM may
#: use 0.6 of it.
_RATE = 20
#: Requests per second that callers send.
_DEMAND = 8


class ColdServiceTests(unittest.TestCase):
    """Requests wait if the rate limit permits a send before their target."""

    def test_request_waits_for_the_next_send_slot(self) -> None:
        """Guards against refusing requests that could be sent in time."""
        results = run_in_virtual_time(_simulate, {'cold_left_ms': 60_000})
        self.assertLess(results.refused, results.total / 4)

    def test_request_is_refused_if_no_send_slot_comes_in_time(self) -> None:
        """A prompt refusal lets the caller try another VM."""
        results = run_in_virtual_time(_simulate, {'cold_left_ms': 60_000}, 1)
        self.assertGreater(results.refused, results.total / 2)
        latest_s = max(results.latencies_by_missing[0], default=0)
        self.assertLess(latest_s, _TARGET_S)


async def _simulate(fields: dict[str, int], rate: float = _RATE) -> Results:
    route = create_shard_route(target_s=_TARGET_S)
    searcher: Searcher = create_searcher('cold', **fields)
    queued = QueuedSearcher(searcher, _SERVICE_TIME_S, random.Random(1))
    load = Load(route, [queued], cold_rate=rate)
    await load.run(_DEMAND, _DURATION_S)
    return load.results


if __name__ == '__main__':
    unittest.main()
