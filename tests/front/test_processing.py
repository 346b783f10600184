"""Tests of the processor time that parsing of requests takes."""

import contextlib
import functools
import itertools
import time
from unittest import TestCase, mock

import anyio

from jacinthcart.front import (
    HttpServer,
    RawRequest,
    RawResponse,
    create_processing,
)
from jacinthcart.front._parser import RequestParser
from jacinthcart.streams import (
    SLICE_BYTES,
    ProcessingBudget,
    ProcessingParameters,
)
from tests.front.test_server import FakeHandler, run_scenario

_CHUNK = b'1\r\na\r\n'
_CHUNKS = 1500
_REQUEST = b'%b%b0\r\n\r\n' % (
    b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
    _CHUNK * _CHUNKS,
)

#: Several of them fill a slice with many pieces.
_SMALL_REQUEST = b'GET /aaaaa HTTP/1.1\r\nhost: h\r\n\r\n'
_SMALL_REQUESTS = 1024
#: More than the kernel's buffers of a connection hold.
_LARGE_BYTES = 20_000_000


class ProcessingTests(TestCase):
    """Other tasks run while the requests of one caller are parsed."""

    def test_chunks_of_one_byte_are_parsed_in_turns(self) -> None:
        """Guards against a read whose chunks stop all other tasks.

        A read of 256 KB holds 43,000 chunks, which took more than 100 ms.
        """
        counted = [0, 0]
        take = RequestParser.on_body

        def on_body(parser: RequestParser, chunk: bytes) -> None:
            counted[0] += 1
            counted[1] = max(counted)
            take(parser, chunk)

        async def run_beside() -> None:
            while True:
                counted[0] = 0
                await anyio.sleep(0)

        async def scenario(
            handler: FakeHandler, server: HttpServer, port: int
        ) -> None:
            server._processing = _create_fast_budget()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_beside)
                stream = await anyio.connect_tcp('127.0.0.1', port)
                await stream.send(_REQUEST * 5)
                while len(handler.bodies) < 5:
                    await anyio.sleep(0)
                await stream.aclose()
                tasks.cancel_scope.cancel()
            self.assertEqual(set(map(len, handler.bodies)), {_CHUNKS})
            self.assertEqual(server._memory.held_bytes, 0)

        with mock.patch.object(RequestParser, 'on_body', on_body):
            run_scenario(scenario)
        # A part of 16 KB before the first turn, and a slice of 4 KB.
        self.assertLess(counted[1], (16_384 + 4096) / len(_CHUNK) + 10)


class PipeliningTests(TestCase):
    """Callers that do not wait for answers share a part of the processor."""

    def test_pipelined_requests_leave_the_processor_to_other_callers(
        self,
    ) -> None:
        """Guards against callers whose requests stop those of others."""

        async def scenario(
            handler: FakeHandler, server: HttpServer, port: int
        ) -> None:
            server._processing = _create_empty_budget()
            async with await anyio.connect_tcp('127.0.0.1', port) as pipelining:
                await pipelining.send(_SMALL_REQUEST * 100)
                await pipelining.receive()
                await _exchange_steadily(port, 20)
            targets = [one.target for one in handler.requests]
            self.assertEqual(targets.count(b'/b'), 20)
            # Only the first request has not waited.
            self.assertEqual(len(targets), 21)
            # Callers that leave while their requests wait are noticed.
            while server._connections:
                await anyio.sleep(0.01)
            self.assertEqual(server._processing.waiting_messages, 0)
            self.assertEqual(server._memory.held_bytes, 0)

        run_scenario(scenario)

    def test_pipelined_requests_are_answered_within_the_share(self) -> None:
        """Guards against answers that are lost or swapped between turns."""

        async def scenario(
            handler: FakeHandler, server: HttpServer, port: int
        ) -> None:
            server._processing = _create_fast_budget()
            targets = [b'/%d' % number for number in range(300)]
            lines = b'HTTP/1.1\r\nHost: h\r\n\r\n'
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(
                    b''.join(b'GET %b %b' % (one, lines) for one in targets)
                )
                received = b''
                while received.count(b'HTTP/1.1 200') < len(targets):
                    received += await stream.receive()
            bodies = received.split(b'\r\n\r\n')[1:]
            answered = [one.partition(b'HTTP')[0] for one in bodies]
            self.assertEqual(answered[:-1], targets[:-1])

        run_scenario(scenario)

    def test_requests_of_a_caller_that_left_are_not_handled(self) -> None:
        """Guards against work for callers that leave during a turn."""

        async def scenario(
            handler: FakeHandler, server: HttpServer, port: int
        ) -> None:
            server._processing = ProcessingBudget(
                ProcessingParameters(turn_s=60)
            )

            async def handle(request: RawRequest) -> RawResponse:
                handler.requests.append(request)
                return RawResponse(200, (), bytes(_LARGE_BYTES))

            with mock.patch.object(handler, 'handle', handle):
                await _leave_during_answer(port)
            self.assertEqual(len(handler.requests), 2)

        run_scenario(scenario)


class BusyMachineTests(TestCase):
    """The share of callers is one of what this process gets."""

    def test_interruptions_count_as_use(self) -> None:
        """Guards against a share that is all that a busy machine leaves."""
        processing = create_processing().open('caller')
        processing.record_free(SLICE_BYTES)
        wait = functools.partial(time.sleep, 0.02)
        anyio.run(processing.process, SLICE_BYTES, wait)
        self.assertGreaterEqual(processing.used_s, 0.02)


class UnparsedRequestTests(TestCase):
    """Requests that wait to be parsed are requests that have arrived."""

    def test_stop_answers_requests_that_wait_to_be_parsed(self) -> None:
        """Guards against a planned stop that drops requests already read."""

        async def scenario(
            handler: FakeHandler, server: HttpServer, port: int
        ) -> None:
            budget = server._processing
            budget.record('other', 0.1, None)
            stream = await anyio.connect_tcp('127.0.0.1', port)
            await stream.send(_SMALL_REQUEST * _SMALL_REQUESTS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_count_answers, stream)
                while not handler.requests:
                    await anyio.sleep(0)
                await server.close()
                tasks.cancel_scope.cancel()
            self.assertEqual(len(handler.requests), _SMALL_REQUESTS)

        run_scenario(scenario)


async def _exchange_steadily(port: int, requests: int) -> None:
    """Send requests for `/b`, each after the answer to the one before."""
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        for _ in range(requests):
            await stream.send(b'GET /b HTTP/1.1\r\nHost: h\r\n\r\n')
            await stream.receive()


async def _leave_during_answer(port: int) -> None:
    """Pipeline three requests; send no more while the second is answered."""
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        await stream.send(_SMALL_REQUEST * 3)
        received_bytes = 0
        while received_bytes <= _LARGE_BYTES + 1000:
            received_bytes += len(await stream.receive())
        await stream.send_eof()
        await anyio.sleep(0.1)
        await _count_answers(stream)


async def _count_answers(stream: anyio.abc.SocketStream) -> None:
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            await stream.receive()


def _create_empty_budget() -> ProcessingBudget:
    """Return a budget that is used up and is not filled again."""
    budget = ProcessingBudget(ProcessingParameters(processor_share=1e-9))
    budget.record('other', 1, None)
    return budget


def _create_fast_budget() -> ProcessingBudget:
    """Return a budget in which each slice takes a turn and none waits."""
    return ProcessingBudget(
        ProcessingParameters(processor_share=1_000_000),
        read_processor_s=itertools.count(0, 0.001).__next__,
    )
