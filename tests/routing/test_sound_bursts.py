"""Tests of many sound large responses that arrive at once."""

import contextlib
from typing import Any
from unittest import TestCase

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import ConnectionParameters, SearcherPools
from tests.routing._endless import create_chunked_response
from tests.support import create_searcher

#: Limit of the responses of a VM of 300 MB.
_HELD_BYTES = 30_000_000
_RESPONSES = 75
_CONTENT = bytes(300_000)
_END_BYTES = 20_000
_TIMEOUT_S = 30


class SoundBurstTests(TestCase):
    """Responses are discarded for what is held, not for what may be."""

    def test_sound_responses_within_the_limit_arrive(self) -> None:
        """Guards against large responses given up while memory is free."""
        for chunk_bytes in (4096, len(_CONTENT)):
            with self.subTest(chunk_bytes):
                burst = _Burst(create_chunked_response(_CONTENT, chunk_bytes))
                anyio.run(burst.run)
                self.assertEqual(burst.failures, [])
                self.assertEqual(len(burst.bodies), _RESPONSES)
                self.assertEqual(set(burst.bodies), {_CONTENT})


class _Burst:
    """Responses that end only when all of them have arrived so far."""

    def __init__(self, response: bytes) -> None:
        """Create the burst; `run` plays it."""
        self.bodies: list[bytes] = []
        #: Why responses did not arrive.
        self.failures: list[str] = []
        self._response = response
        self._begun = 0

    async def run(self) -> None:
        """Receive all responses or their failures."""
        self._all_begun = anyio.Event()
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        pools = SearcherPools(
            PlatformSearcherCodec(),
            anyio.current_time,
            ConnectionParameters(
                connect_timeout_s=_TIMEOUT_S, max_held_bytes=_HELD_BYTES
            ),
        )
        with anyio.fail_after(_TIMEOUT_S):
            async with listener, anyio.create_task_group() as serving:
                serving.start_soon(listener.serve, self._respond)
                await self._receive_all(pools, listener)
                serving.cancel_scope.cancel()

    async def _receive_all(
        self, pools: SearcherPools, listener: SocketListener
    ) -> None:
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            for _ in range(_RESPONSES):
                tasks.start_soon(self._receive, pools, port)

    async def _receive(self, pools: SearcherPools, port: int) -> None:
        searcher = create_searcher('s', port=port)
        connection: Any = await pools.acquire(searcher, '1', at_most_once=True)
        try:
            response = await connection.exchange(b'a', '1')
        except OutcomeUnknownError as error:
            self.failures.append(str(error))
        else:
            self.bodies.append(response.body)
        finally:
            await connection.close()

    async def _respond(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            # The connection of a response that was given up is closed.
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(self._response[:-_END_BYTES])
            # The last parts are read while the others are waited for.
            await anyio.sleep(0.1)
            self._begun += 1
            if self._begun == _RESPONSES:
                self._all_begun.set()
            await self._all_begun.wait()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(self._response[-_END_BYTES:])
