"""Tests of responses that are given up before they count as long."""

from unittest import TestCase

import anyio

from jacinthcart.errors import OutcomeUnknownError
from tests.routing._endless import EndlessPools, EndlessStream, create_response
from tests.support import create_searcher, run_in_virtual_time

_LIMIT_BYTES = 20_000
_DISCARDED_AT_S = 1.0


class EarlyDiscardTests(TestCase):
    """A response that is given up holds its connection no longer."""

    def test_small_response_that_is_given_up_ends_at_once(self) -> None:
        """Guards against a request that waits for its time limit."""
        self.assertEqual(run_in_virtual_time(_discard), _DISCARDED_AT_S)


async def _discard() -> float:
    """Return when a small response that stalls and is given up has ended."""
    response = create_response(bytes(10_000))
    pools = EndlessPools(
        lambda searcher: EndlessStream(
            iter((response[:200], response[200:3000]))
        ),
        _LIMIT_BYTES,
    )
    began_at = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_receive, pools)
        await anyio.sleep(_DISCARDED_AT_S)
        kept = pools._memory.open_complete(_LIMIT_BYTES)
        pools._memory.make_room()
    del kept
    return round(anyio.current_time() - began_at, 3)


async def _receive(pools: EndlessPools) -> None:
    connection = await pools.acquire(
        create_searcher('s'), '1', at_most_once=True
    )
    with anyio.move_on_after(10):
        try:
            await connection.exchange(b'', '1')
        except OutcomeUnknownError:
            return
