"""Tests of the processor time that endless responses take."""

from collections.abc import Iterator
from unittest import TestCase

import anyio

from jacinthcart.catalogue import Searcher
from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.streams import ProcessingParameters
from tests.routing._endless import (
    ENDLESS_FORMS,
    SLICE_S,
    EndlessPools,
    EndlessStream,
    create_chunked_response,
    create_response,
    send_endless,
)
from tests.support import create_searcher, run_in_virtual_time

_RESPONSES = 50
_READ_BYTES = 65536
_PARAMS = ProcessingParameters()
_LARGE = bytes(range(256)) * 4000


class EndlessProcessingTests(TestCase):
    """Endless responses of a searcher leave the processor to others."""

    def test_endless_responses_take_a_share_of_the_processor(self) -> None:
        """Guards against requests to sound searchers that wait for seconds."""
        for form in ENDLESS_FORMS:
            with self.subTest(form):
                pools = run_in_virtual_time(_read_endless, form, 2.0)
                used_s = pools.processing.used_s_by_source['faulty']
                shared_s = _PARAMS.burst_s + 2 * _PARAMS.processor_share
                self.assertLessEqual(used_s, shared_s + 2 * SLICE_S)
                self.assertGreater(used_s, 0.3 * shared_s)

    def test_waiting_responses_are_not_read(self) -> None:
        """Guards against reading what can't be parsed in time."""
        pools = run_in_virtual_time(_read_endless, 'chunks of one byte', 1.0)
        parsed = (_PARAMS.burst_s + _PARAMS.processor_share) / SLICE_S * 4096
        self.assertLessEqual(
            pools.sum_received_bytes('faulty'),
            # Each has begun one read, and the free bytes of each are parsed.
            _RESPONSES * (_READ_BYTES + 2 * 4096) + parsed,
        )

    def test_time_limit_ends_a_wait_and_frees_its_memory(self) -> None:
        """Guards against attempts that end late and what they hold."""
        ended_at, held, held_after = run_in_virtual_time(self._cut_off)
        self.assertEqual(ended_at, 0.5)
        # Received bytes count before they are parsed.
        self.assertGreater(held, _RESPONSES * 0.9 * _READ_BYTES)
        self.assertEqual(held_after, 0)

    def test_discarded_response_does_not_wait(self) -> None:
        """Guards against a connection kept for a response given up."""
        self.assertEqual(run_in_virtual_time(self._discard), 0.5)

    def test_sound_response_passes_endless_ones(self) -> None:
        """Guards against a sound searcher that fails with a faulty one.

        1 MB in chunks takes 250 slices, the whole share of 1.2 seconds.
        """
        self.assertLess(run_in_virtual_time(self._read_sound), 1.5)

    def test_response_parsed_in_slices_is_whole(self) -> None:
        """Guards against bytes lost or repeated between slices."""
        for received in (
            create_response(_LARGE),
            *(create_chunked_response(_LARGE, size) for size in (70, 16384)),
        ):
            for read_bytes in (100_003, len(received)):
                with self.subTest(received[:200], read_bytes=read_bytes):
                    self.assertEqual(
                        run_in_virtual_time(_read, received, read_bytes),
                        _LARGE,
                    )

    def test_error_after_slices_ends_the_response(self) -> None:
        """Guards against a malformed response that is not noticed."""
        received = create_chunked_response(_LARGE, 70).replace(
            b'0\r\n\r\n', b'x\r\n\r\n'
        )
        with self.assertRaises(OutcomeUnknownError):
            run_in_virtual_time(_read, received, len(received))

    def test_large_chunks_are_parsed_in_few_slices(self) -> None:
        """Guards against sound responses slowed down by short slices."""
        received = create_chunked_response(_LARGE, 16384)
        self.assertLess(run_in_virtual_time(_count_slices, received), 30)

    def test_small_chunks_after_large_ones_are_parsed_in_short_slices(
        self,
    ) -> None:
        """Guards against a long pause that large chunks prepare."""
        received = create_chunked_response(_LARGE, 16384).replace(
            b'0\r\n\r\n', b'%s0\r\n\r\n' % (b'1\r\nx\r\n' * 20_000)
        )
        slices = run_in_virtual_time(_count_slices, received)
        self.assertGreater(slices, 120_000 / 4096)

    async def _cut_off(self) -> tuple[float, int, int]:
        pools = _create_pools('chunks of one byte')
        began_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_all, pools, 0.5)
            await anyio.sleep(0.4)
            held = pools.held_bytes
        return anyio.current_time() - began_at, held, pools.held_bytes

    async def _discard(self) -> float:
        """Return the time at which a waiting response is given up."""
        form = 'chunks of one byte'
        pools = _create_pools(form, max_held_bytes=2 * _RESPONSES * _READ_BYTES)
        began_at = anyio.current_time()
        ended_at: list[float] = []

        async def read() -> None:
            try:
                await _exchange(pools, 'faulty')
            except OutcomeUnknownError:
                ended_at.append(anyio.current_time())

        async with anyio.create_task_group() as tasks:
            for _ in range(_RESPONSES - 1):
                tasks.start_soon(read)
            await anyio.sleep(0.5)
            self.assertEqual(ended_at, [])
            for _ in range(_RESPONSES):
                tasks.start_soon(read)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        return ended_at[0] - began_at

    async def _read_sound(self) -> float:
        content = create_chunked_response(_LARGE, 16384)
        pools = EndlessPools(
            lambda searcher: EndlessStream(
                send_endless('chunks of one byte')
                if searcher.searcher_id == 'faulty'
                else _split(content, _READ_BYTES)
            )
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_all, pools, 100)
            await anyio.sleep(1)
            began_at = anyio.current_time()
            self.assertEqual(await _exchange(pools, 'sound'), _LARGE)
            ended_at = anyio.current_time()
            tasks.cancel_scope.cancel()
        return ended_at - began_at


def _split(received: bytes, read_bytes: int) -> Iterator[bytes]:
    return (
        received[start : start + read_bytes]
        for start in range(0, len(received), read_bytes)
    )


def _create_pools(form: str, max_held_bytes: int = 64_000_000) -> EndlessPools:
    return EndlessPools(
        lambda searcher: EndlessStream(send_endless(form)), max_held_bytes
    )


async def _exchange(pools: EndlessPools, searcher_id: str) -> bytes:
    searcher: Searcher = create_searcher(searcher_id)
    connection = await pools.acquire(searcher, '1', at_most_once=True)
    try:
        response = await connection.exchange(b'', '1')
    finally:
        with anyio.CancelScope(shield=True):
            await connection.close()
    return response.body


async def _read_all(pools: EndlessPools, time_s: float) -> None:
    """Read endless responses until they are cut off."""

    async def read() -> None:
        with anyio.move_on_after(time_s):
            try:
                await _exchange(pools, 'faulty')
            except OutcomeUnknownError:
                return

    async with anyio.create_task_group() as tasks:
        for _ in range(_RESPONSES):
            tasks.start_soon(read)


async def _read_endless(form: str, time_s: float) -> EndlessPools:
    pools = _create_pools(form)
    await _read_all(pools, time_s)
    return pools


async def _read(received: bytes, read_bytes: int) -> bytes:
    pools = EndlessPools(
        lambda searcher: EndlessStream(_split(received, read_bytes))
    )
    return await _exchange(pools, 's')


async def _count_slices(received: bytes) -> int:
    """Return in how many limited slices a response is parsed."""
    pools = EndlessPools(
        lambda searcher: EndlessStream(_split(received, _READ_BYTES))
    )
    await _exchange(pools, 's')
    return round(pools.processing.used_s_by_source['s'] / SLICE_S)
