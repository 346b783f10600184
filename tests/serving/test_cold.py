"""Tests of requests whose searchers have all begun cold."""

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
_WORK_S = 0.01
_PLAYED_S = 4.0
#: Requests per second that the searcher bears; one VM may use 0.6 of it.
_RATE = 20
_DEMAND = 8


class ColdServiceTests(unittest.TestCase):
    """The rate is used for the callers that can wait for it."""

    def test_request_waits_for_the_next_right(self) -> None:
        """It was refused though the searcher was open again in time."""
        results = run_in_virtual_time(_play, {'cold_left_ms': 60_000})
        self.assertLess(results.refused, results.total / 4)

    def test_request_is_refused_if_no_right_comes_in_time(self) -> None:
        """Callers that wait for nothing could have asked elsewhere."""
        results = run_in_virtual_time(_play, {'cold_left_ms': 60_000}, 1)
        self.assertGreater(results.refused, results.total / 2)
        latest_s = max(results.latencies_by_missing[0], default=0)
        self.assertLess(latest_s, _TARGET_S)


async def _play(fields: dict[str, int], rate: float = _RATE) -> Results:
    route = create_shard_route(target_s=_TARGET_S)
    searcher: Searcher = create_searcher('cold', **fields)
    queued = QueuedSearcher(searcher, _WORK_S, random.Random(1))
    load = Load(route, [queued], cold_rate=rate)
    await load.play(_DEMAND, _PLAYED_S)
    return load.results


if __name__ == '__main__':
    unittest.main()
