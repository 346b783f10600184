"""Tests of connection pools."""

import unittest

import anyio

from jacinthcart.routing import ConnectionParameters, SearcherPools
from tests.support import create_searcher, run_in_virtual_time


class FakeConnection:
    """A connection that takes time to close."""

    def __init__(self) -> None:
        """Create a usable connection."""
        self.is_usable = True
        self.used_at = 0.0
        self.idle_until = 0.0

    def has_no_input(self) -> bool:
        """Return True: no data arrived."""
        return True

    async def close(self) -> None:
        """Close after a delay, so that other tasks run meanwhile."""
        await anyio.sleep(0.1)


class SearcherPoolsTests(unittest.TestCase):
    """A connection is used for one request at a time."""

    def test_connection_acquired_during_cleanup_is_not_acquired_again(
        self,
    ) -> None:
        """Guards against two requests that acquire the same connection.

        One of them acquired it while idle connections were being closed. Two
        requests on one connection terminated the process.
        """
        taken = run_in_virtual_time(self._take_during_clean_up)
        self.assertEqual(len(taken), len(set(taken)))

    async def _take_during_clean_up(self) -> list[int]:
        searcher = create_searcher('a')
        pools = SearcherPools(
            None,  # type: ignore[arg-type]
            anyio.current_time,
            ConnectionParameters(connect_timeout_s=0.01, idle_timeout_s=1),
        )
        old, *recent = [FakeConnection() for _ in range(3)]
        await pools.release(searcher, old, None)  # type: ignore[arg-type]
        await anyio.sleep(0.9)
        for one in recent:
            await pools.release(searcher, one, None)  # type: ignore[arg-type]
        await anyio.sleep(0.2)
        taken = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pools.close_idle)
            await anyio.sleep(0.05)
            taken.append(await pools.acquire(searcher, at_most_once=False))
            await anyio.sleep(0.2)
        taken.append(await pools.acquire(searcher, at_most_once=False))
        return [id(one) for one in taken]
