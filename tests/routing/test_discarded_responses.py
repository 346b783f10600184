"""Tests of the health of searchers whose responses this VM gives up."""

import random
from collections.abc import Iterator
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.routing import (
    CallContext,
    SearcherClient,
    SearcherHealth,
)
from jacinthcart.telemetry import Metrics
from tests.routing._endless import (
    EndlessPools,
    EndlessStream,
    create_chunked_response,
    send_endless,
)
from tests.serving.support import create_client
from tests.support import (
    create_catalogue,
    create_member,
    create_request,
    create_route,
    create_searcher,
    run_in_virtual_time,
)

_ROUTE = create_route('a', is_public=True, is_idempotent=False)
_LIMIT_BYTES = 2_000_000
_SMALL = create_chunked_response(bytes(10_000), 5000)
_SOUND = create_chunked_response(bytes(500_000), 50_000)
_READ_BYTES = 65536
#: Seconds for which the length of a response is remembered.
_REMEMBERED_S = 10


class DiscardedResponseTests(TestCase):
    """Lack of memory in this VM is no failure of a sound searcher."""

    def test_sound_response_that_is_given_up_is_no_failure(self) -> None:
        """Guards against a backoff from sound searchers under load."""
        health = run_in_virtual_time(_give_up, _SOUND, 1, _read(_SOUND))
        self.assertEqual(health.consecutive_failures, 0)
        self.assertEqual(health.failure_rate, 0)

    def test_response_longer_than_usual_is_a_failure(self) -> None:
        """Guards against a faulty searcher that is asked at the full rate."""
        health = run_in_virtual_time(
            _give_up, _SMALL, 1, send_endless('one chunk')
        )
        self.assertEqual(health.consecutive_failures, 1)

    def test_response_of_usual_length_that_is_cut_off_is_no_failure(
        self,
    ) -> None:
        """Guards against short deadlines that make VMs avoid searchers."""
        for earlier, failures in ((_SOUND, 0), (_SMALL, 1)):
            health = run_in_virtual_time(
                _give_up,
                earlier,
                1,
                iter([_SOUND[:400_000]]),
                10 * _LIMIT_BYTES,
            )
            self.assertEqual(health.consecutive_failures, failures)

    def test_searcher_without_recent_responses_has_no_usual_length(
        self,
    ) -> None:
        """Guards against a searcher in trouble that was sound long ago."""
        health = run_in_virtual_time(
            _give_up, _SOUND, _REMEMBERED_S + 1, _read(_SOUND)
        )
        self.assertEqual(health.consecutive_failures, 1)


def _read(response: bytes) -> Iterator[bytes]:
    return (
        response[start : start + _READ_BYTES]
        for start in range(0, len(response), _READ_BYTES)
    )


async def _give_up(
    earlier: bytes,
    pause_s: float,
    received: Iterator[bytes],
    limit_bytes: int = _LIMIT_BYTES,
) -> SearcherHealth:
    """Receive an earlier response and, with little memory, another one."""
    responses = iter((_read(earlier), received))
    pools = EndlessPools(
        lambda searcher: EndlessStream(next(responses)), limit_bytes
    )
    searcher = create_searcher('s')
    client = create_client(
        pools,
        [searcher],
        create_catalogue(_ROUTE),
        create_member('10.0.0.1'),
        random.Random(3),
        Metrics(),
    )
    codec: Any = getattr(client, '_codec')
    codec.encode_request.return_value = b''
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.run)
        await anyio.sleep(0.1)
        await _send(client)
        await anyio.sleep(pause_s)
        memory: Any = getattr(pools, '_memory')
        kept = memory.open_complete(_LIMIT_BYTES - 3 * _READ_BYTES)
        await _send(client)
        tasks.cancel_scope.cancel()
    del kept
    return client.table.get_health(searcher)


async def _send(client: SearcherClient) -> None:
    now = anyio.current_time()
    context = CallContext(
        create_request(now), _ROUTE, None, now + 3, lambda: True
    )
    ended = anyio.Event()
    on_end = mock.Mock(side_effect=lambda attempt: ended.set())
    attempt = client.start(context, create_searcher('s'), on_end)
    with anyio.move_on_after(3):
        await ended.wait()
    client.cancel(attempt)
    await anyio.sleep(0.1)
