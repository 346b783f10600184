"""Tests of the long responses of one searcher that are read at once."""

from unittest import TestCase

import anyio

from jacinthcart.catalogue import Searcher
from jacinthcart.errors import OutcomeUnknownError
from tests.routing._endless import (
    EndlessPools,
    EndlessStream,
    create_response,
    send_endless,
)
from tests.support import create_searcher, run_in_virtual_time

_RESPONSES = 20
_SLOTS = 8
#: Bytes beyond which a slot is needed, and what one read may exceed them by.
_READ_WITHOUT_SLOT = 262_144 + 3 * 65536
_LARGE = bytes(1_000_000)


class LongResponseSlotsTests(TestCase):
    """A searcher process has few long responses read at once."""

    def test_long_responses_beyond_the_slots_are_not_read(self) -> None:
        """Guards against reading all endless responses to their limits."""
        pools = run_in_virtual_time(self._read_endless)
        read = [
            stream
            for _, stream in pools.streams
            if stream.received_bytes > _READ_WITHOUT_SLOT
        ]
        self.assertEqual(len(read), _SLOTS)
        self.assertEqual(pools.held_bytes, 0)

    def test_slot_of_a_response_cut_off_is_free(self) -> None:
        """Guards against a searcher that is never read again."""
        ended_at = run_in_virtual_time(self._read_sound, 'faulty')
        self.assertGreater(ended_at, 1)
        self.assertLess(ended_at, 1.5)

    def test_other_searchers_have_slots_of_their_own(self) -> None:
        """Guards against a sound searcher that waits for a faulty one."""
        self.assertLess(run_in_virtual_time(self._read_sound, 'sound'), 1)

    async def _read_endless(self) -> EndlessPools:
        pools = EndlessPools(_create_stream)
        await _read_all(pools, 2)
        return pools

    async def _read_sound(self, searcher_id: str) -> float:
        """Return when a response that began at 0.5 s is complete."""
        pools = EndlessPools(_create_stream)
        began_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_all, pools, 1)
            await anyio.sleep(0.5)
            searcher = create_searcher(searcher_id, port=1)
            connection = await pools.acquire(searcher, '1', at_most_once=True)
            response = await connection.exchange(b'', '1')
            ended_at = anyio.current_time()
            self.assertEqual(response.body, _LARGE)
        return ended_at - began_at


def _create_stream(searcher: Searcher) -> EndlessStream:
    if searcher.port == 1:
        return EndlessStream(iter([create_response(_LARGE)]))
    return EndlessStream(send_endless('told length'))


async def _read_all(pools: EndlessPools, time_s: float) -> None:
    async def read() -> None:
        connection = await pools.acquire(
            create_searcher('faulty'), '1', at_most_once=True
        )
        try:
            with anyio.move_on_after(time_s):
                await connection.exchange(b'', '1')
        except OutcomeUnknownError:
            return
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()

    async with anyio.create_task_group() as tasks:
        for _ in range(_RESPONSES):
            tasks.start_soon(read)
