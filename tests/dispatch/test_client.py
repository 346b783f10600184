"""Tests of the HTTP client of one searcher."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketStream

from jacinthcart.dispatch import (
    BaseSearcherClient,
    SearcherRefusalError,
    SearcherTarget,
    SearchMessage,
    Snapshot,
    WrongReplyError,
    create_http_client_factory,
)
from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.feed import StateFeed
from jacinthcart.settings import ProcessSettings
from jacinthcart.wire import decode_json, encode_json
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME, Malformation
from tests.dispatch.support import PROCESS

DEADLINE_S = 60
TEST_TIMEOUT_S = 10
Change = Callable[[dict[str, Any]], dict[str, Any]]


class FakeServer:
    """Sends one reply for each request on raw connections."""

    def __init__(self) -> None:
        """Reply correctly to every request by default."""
        self.status = 200
        self.change: Change = dict
        self.connections = 0
        self.heads: list[bytes] = []
        self.closed = anyio.Event()
        self.is_silent = False
        self.missing_bytes = 0
        self.malformation = Malformation()

    async def serve(self, stream: SocketStream) -> None:
        """Reply to the requests of one connection until it closes."""
        self.connections += 1
        async with stream:
            try:
                while True:
                    await self._answer(await stream.receive(), stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.closed.set()

    async def _answer(self, received: bytes, stream: SocketStream) -> None:
        head, _, body = received.partition(b'\r\n\r\n')
        self.heads.append(head)
        if self.is_silent:
            return
        asked = decode_json(body)
        reply = encode_json(
            self.change(
                {
                    'sub_id': asked['sub_id'],
                    'generation': 'g1',
                    'state': 'warm',
                    'load': 0,
                    'code': 'shed',
                    'index_version': asked['index_version'],
                    'partition_map': asked['partition_map'],
                    'results': {str(shard): [] for shard in asked['shards']},
                }
            )
        )
        length = len(reply) + self.missing_bytes
        response = (
            f'HTTP/1.1 {self.status} X\r\nContent-Length: {length}\r\n\r\n'
            ''.encode()
            + reply
        )
        await stream.send(self.malformation.apply(response))
        if self.missing_bytes:
            await stream.send_eof()


def _make_message(number: int) -> SearchMessage:
    return SearchMessage(f'sub-{number}', 'r', Snapshot(7, 3), (0, 1), {})


def _replace_sub_id(reply: dict[str, Any]) -> dict[str, Any]:
    return {**reply, 'sub_id': 'another'}


class HttpSearcherClientTest(unittest.TestCase):
    """A connection is reused only after a matching reply or a refusal."""

    def _run(
        self,
        scenario: Callable[
            [FakeServer, BaseSearcherClient, float], Awaitable[None]
        ],
    ) -> None:
        async def main() -> None:
            server = FakeServer()
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            feed = StateFeed(
                ProcessSettings.model_validate({'vm_id': 'vm-0', **PROCESS}),
                'gather',
            )
            client = create_http_client_factory(feed)(
                SearcherTarget('s0', '127.0.0.1', port, 2)
            )
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, server.serve)
                # Fails the test if a connection is not closed.
                with anyio.fail_after(TEST_TIMEOUT_S):
                    await scenario(server, client, feed.clock() + DEADLINE_S)
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_exact_replies_and_refusals_keep_the_connection(self) -> None:
        """Guards against a new connection for each request."""

        async def scenario(
            server: FakeServer, client: BaseSearcherClient, deadline: float
        ) -> None:
            await client.search(_make_message(1), deadline)
            server.status = 503
            with self.assertRaises(SearcherRefusalError):
                await client.search(_make_message(2), deadline)
            server.status = 200
            await client.search(_make_message(3), deadline)
            self.assertEqual(server.connections, 1)
            self.assertIn(b'x-deadline-ms: ', server.heads[0])

        self._run(scenario)

    def test_wrong_reply_closes_the_connection(self) -> None:
        """Guards against the next request reading another one's reply."""

        async def scenario(
            server: FakeServer, client: BaseSearcherClient, deadline: float
        ) -> None:
            server.change = _replace_sub_id
            with self.assertRaises(WrongReplyError):
                await client.search(_make_message(1), deadline)
            await server.closed.wait()
            server.change = dict
            await client.search(_make_message(2), deadline)
            self.assertEqual(server.connections, 2)

        self._run(scenario)

    def test_truncated_reply_has_an_unknown_outcome(self) -> None:
        """Guards against running a request again after a truncated reply."""

        async def scenario(
            server: FakeServer, client: BaseSearcherClient, deadline: float
        ) -> None:
            server.missing_bytes = 5
            with self.assertRaises(OutcomeUnknownError):
                await client.search(_make_message(1), deadline)

        self._run(scenario)

    def test_malformed_reply_has_an_unknown_outcome(self) -> None:
        """Guards against a reply or refusal whose head is malformed."""

        async def scenario(
            server: FakeServer, client: BaseSearcherClient, deadline: float
        ) -> None:
            for malformation in MALFORMATIONS_BY_NAME.values():
                server.malformation = malformation
                # A refusal is as malformed as a reply.
                server.status = 200 if server.status == 503 else 503
                with self.assertRaises(OutcomeUnknownError, msg=malformation):
                    await client.search(_make_message(1), deadline)

        self._run(scenario)

    def test_cancelled_request_closes_its_connection(self) -> None:
        """Guards against a late reply and work on a cancelled request."""

        async def scenario(
            server: FakeServer, client: BaseSearcherClient, deadline: float
        ) -> None:
            server.is_silent = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.search, _make_message(1), deadline)
                while not server.heads:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            await server.closed.wait()
            server.is_silent = False
            await client.search(_make_message(2), deadline)
            self.assertEqual(server.connections, 2)

        self._run(scenario)

    def test_passed_deadline_sends_nothing(self) -> None:
        """Guards against sending when connecting used up the deadline."""

        async def scenario(
            server: FakeServer, client: BaseSearcherClient, deadline: float
        ) -> None:
            with self.assertRaises(NotSentError):
                await client.search(_make_message(1), deadline - DEADLINE_S)
            self.assertEqual(server.heads, [])

        self._run(scenario)
