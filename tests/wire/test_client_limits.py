"""Tests of what all responses of client connections may take together."""

import contextlib
import gc
import itertools
import weakref
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase, mock

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.streams import ProcessingBudget, ProcessingParameters
from jacinthcart.wire import ConnectionPool, HttpConnection
from jacinthcart.wire._limits import get_client_limits

_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_LENGTH_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 10000000\r\n\r\n'
_CHUNKS = 10_000
_ADDRESS = '127.0.0.1'
Scenario = Callable[[int], Awaitable[None]]


class ClientProcessingTests(TestCase):
    """Other tasks run while a response is parsed."""

    def test_chunks_of_one_byte_are_parsed_in_turns(self) -> None:
        """Guards against a read whose chunks stop all other tasks.

        A read of 64 KB holds 10,900 chunks, each of which takes 10 us.
        """
        for backend in ('asyncio', 'trio'):
            most = _Most()
            message = b'%b%b0\r\n\r\n' % (
                _CHUNKED_HEAD,
                b'1\r\na\r\n' * _CHUNKS,
            )

            async def scenario(port: int) -> None:
                get_client_limits().processing = _create_fast_budget()
                pool = ConnectionPool(_ADDRESS, port, limit=1)
                with mock.patch.object(
                    h11.Connection, 'next_event', _count_events(most)
                ):
                    response = await pool.call('GET', '/', timeout_s=60)
                self.assertEqual(len(response.body), _CHUNKS)
                await pool.close()

            async def run() -> None:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(most.run_beside)
                    await _run_with_server(message, scenario)
                    tasks.cancel_scope.cancel()

            anyio.run(run, backend=backend)
            self.assertLess(most.chunks, 1500)


class ClientMemoryTests(TestCase):
    """All bodies together stay within one bound."""

    def test_largest_body_gives_way(self) -> None:
        """Guards against a bound of each response only."""

        async def scenario(port: int) -> None:
            memory = get_client_limits().memory
            memory.limit_bytes = 1_000_000
            errors: list[Exception] = []
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(_call, port, errors)
                while len(errors) < 4:
                    self.assertLessEqual(memory.held_bytes, 1_000_000)
                    await anyio.sleep(0)
            for error in errors:
                self.assertIn('gave way', str(error.__cause__))
            self.assertEqual(memory.held_bytes, 0)

        anyio.run(_run_with_server, _LENGTH_HEAD, scenario, bytes(100_000))

    def test_response_given_up_is_freed_at_once(self) -> None:
        """Guards against bytes that only the cyclic collector frees."""
        for end in (b'', b'1\r\na\r\nx\r\n'):
            part = b'%bf4240\r\n%b' % (_CHUNKED_HEAD, bytes(500_000))
            if end:
                part = b'%b%b' % (_CHUNKED_HEAD, end)

            gc.collect()
            gc.disable()
            try:
                anyio.run(_run_with_server, part, _give_up)
            finally:
                gc.enable()


class _Most:
    """The most chunks that are decoded before another task runs."""

    def __init__(self) -> None:
        """Start without chunks."""
        self.chunks = 0
        self._in_turn = 0

    def add(self) -> None:
        """Count a chunk."""
        self._in_turn += 1
        self.chunks = max(self.chunks, self._in_turn)

    async def run_beside(self) -> None:
        """Begin the count again at each turn of this task."""
        while True:
            self._in_turn = 0
            await anyio.sleep(0)


def _count_events(most: _Most) -> Callable[[h11.Connection], Any]:
    """Return a method of the codec that counts its events."""
    take = h11.Connection.next_event

    def next_event(codec: h11.Connection) -> Any:
        most.add()
        return take(codec)

    return next_event


def _create_fast_budget() -> ProcessingBudget:
    """Return a budget in which each slice takes a turn and none waits."""
    return ProcessingBudget(
        ProcessingParameters(processor_share=1_000_000),
        read_processor_s=itertools.count(0, 0.001).__next__,
    )


async def _give_up(port: int) -> None:
    """Check that nothing is held for a failed or cancelled request."""
    connection = await HttpConnection.open(_ADDRESS, port)
    with contextlib.suppress(OutcomeUnknownError):
        with anyio.move_on_after(0.3):
            await connection.request('GET', '/')
    await connection.close()
    assert not get_client_limits().memory.held_bytes
    alive = weakref.ref(connection)
    del connection
    await anyio.sleep(0)
    assert alive() is None


async def _call(port: int, errors: list[Exception]) -> None:
    pool = ConnectionPool(_ADDRESS, port, limit=1)
    try:
        await pool.call('GET', '/', timeout_s=60)
    except OutcomeUnknownError as error:
        errors.append(error)
    finally:
        with anyio.CancelScope(shield=True):
            await pool.close()


async def _run_with_server(
    message: bytes, scenario: Scenario, repeated: bytes = b''
) -> None:
    """Run with a server that sends the message and stays open.

    It sends `repeated` without end after the message.
    """

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(message)
                while repeated:
                    await stream.send(repeated)
                await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host=_ADDRESS)
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        await scenario(port)
        tasks.cancel_scope.cancel()
