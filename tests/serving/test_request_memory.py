"""Tests of requests that their searchers have no room for."""

import random
import unittest

import anyio

from jacinthcart.routing._request_memory import RequestMemory
from tests.serving.support import (
    Load,
    QueuedSearcher,
    Results,
    create_shard_route,
)
from tests.support import create_searcher, run_in_virtual_time

_REQUEST_BYTES = 20_000


class RequestMemoryTests(unittest.TestCase):
    """The load is two large requests at once, with little room for them."""

    def test_request_goes_to_another_searcher(self) -> None:
        """Guards against refusing what another searcher has room for."""
        results, arrivals = run_in_virtual_time(_ask_twice, 2)
        self.assertEqual(results.refused, 0)
        self.assertEqual(arrivals, [1, 1])

    def test_request_without_room_is_refused_as_not_run(self) -> None:
        """Guards against a searcher that its requests' bytes end."""
        results, arrivals = run_in_virtual_time(_ask_twice, 1)
        self.assertEqual(results.refused, 1)
        self.assertEqual(arrivals, [1])


async def _ask_twice(count: int) -> tuple[Results, list[int]]:
    searchers = [
        QueuedSearcher(create_searcher(str(number)), 0.05, random.Random(1))
        for number in range(count)
    ]
    load = Load(create_shard_route(), searchers)
    client = load._client
    client._codec.encode_request.return_value = bytes(_REQUEST_BYTES)
    client._pools.request_memory = RequestMemory(100_000, lambda: 1 / 1024)
    async with anyio.create_task_group() as background:
        background.start_soon(client.run)
        await anyio.sleep(0.1)
        async with anyio.create_task_group() as requests:
            requests.start_soon(load._ask)
            requests.start_soon(load._ask)
        background.cancel_scope.cancel()
    return load.results, [one.arrivals for one in searchers]
