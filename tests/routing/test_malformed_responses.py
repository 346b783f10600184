"""Tests of malformed responses of searchers."""

import itertools
from unittest import TestCase

import anyio

from jacinthcart.catalogue import Searcher
from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import (
    ConnectionParameters,
    SearcherPools,
    SearcherResponse,
)
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME
from tests.scripted_server import ScriptedServer
from tests.support import create_searcher

_TIMEOUT_S = 10
_HEADERS = (
    b'x-jacinthcart-request-id: %s\r\n'
    b'x-jacinthcart-server-stamp: s\r\n'
    b'x-jacinthcart-not-executed: 1\r\n'
)
_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%s\r\nok' % _HEADERS

_UNUSUAL_RESPONSES = (
    b'HTTP/1.1 200 \r\ncontent-length: 2\r\n%s\r\nok',
    b'HTTP/1.1 200 \xfcber \t\r\ncontent-length:2 \t\r\n%s\r\nok',
    b'HTTP/1.2 200 OK\r\ncontent-length: 02\r\n%s\r\nok',
    b'HTTP/1.0 200 OK\r\nConnection: x\r\ncontent-length: 2\r\n%s\r\nok',
    b'HTTP/1.1 599 X\r\nContent-Length: 2\r\na:\r\nb:c\r\nd: \t e\xff f\t \r\n'
    b"!#$%&'*+-.^_`|~09: ::\r\n%s\r\nok",
    b'HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n%s\r\nok',
    b'HTTP/1.1 103 E\r\na: b\r\n%s\r\nHTTP/1.1 199 \r\n\r\n'
    b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%s\r\nok',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n%s\r\n'
    b'1;a=b\r\no\r\n1\r\nk\r\n0\r\nx: y\r\n\r\n',
)


class MalformedResponseTests(TestCase):
    """A malformed response is no response: the request may have run."""

    def test_malformed_response_leaves_the_outcome_unknown(self) -> None:
        """Guards against callers that get a malformed response.

        It states that the searcher did not run the request; without a valid
        head, that statement does not count either.
        """
        for name, malformation in MALFORMATIONS_BY_NAME.items():
            malformed = malformation.apply(_RESPONSE)
            for script, piece_bytes in itertools.product(
                ([malformed], [_RESPONSE, malformed]), (1, len(malformed))
            ):
                with self.subTest(name, script=script, piece=piece_bytes):
                    self._check_last_is_unknown(script, piece_bytes)

    def test_connection_of_a_malformed_response_is_not_used_again(self) -> None:
        """Guards against the rest of a malformed response."""
        malformed = MALFORMATIONS_BY_NAME["b'HTTP/1.1 000 OK'"].apply(_RESPONSE)
        server = ScriptedServer([malformed, _RESPONSE], len(malformed))
        outcomes = anyio.run(_exchange_all, server, 2)
        self.assertIsInstance(outcomes[0], OutcomeUnknownError)
        self.assertEqual(outcomes[1].body, b'ok')
        self.assertEqual(server.connections, 2)

    def test_unusual_responses_are_received(self) -> None:
        """Guards against rejecting what HTTP allows."""
        responses = [one.replace(b'%s', _HEADERS) for one in _UNUSUAL_RESPONSES]
        for response in responses:
            for piece_bytes in (1, len(response)):
                with self.subTest(response, piece=piece_bytes):
                    server = ScriptedServer([response, response], piece_bytes)
                    outcomes = anyio.run(_exchange_all, server, 2)
                    bodies = [one.body for one in outcomes]
                    self.assertEqual(bodies, [b'ok', b'ok'])

    def _check_last_is_unknown(
        self, script: list[bytes], piece_bytes: int
    ) -> None:
        server = ScriptedServer(script, piece_bytes)
        *answered, last = anyio.run(_exchange_all, server, len(script))
        self.assertTrue(all(one.body == b'ok' for one in answered))
        self.assertEqual(server.connections, 1)
        self.assertIsInstance(last, OutcomeUnknownError)


async def _exchange_all(
    server: ScriptedServer, count: int
) -> list[SearcherResponse | OutcomeUnknownError]:
    pools = SearcherPools(
        PlatformSearcherCodec(), anyio.current_time, ConnectionParameters()
    )
    async with server.listen() as port:
        searcher = create_searcher('s', port=port)
        outcomes = [
            await _exchange(pools, searcher, str(number))
            for number in range(count)
        ]
        await pools.close()
    return outcomes


async def _exchange(
    pools: SearcherPools, searcher: Searcher, request_id: str
) -> SearcherResponse | OutcomeUnknownError:
    connection = await pools.acquire(searcher, request_id, at_most_once=False)
    try:
        with anyio.fail_after(_TIMEOUT_S):
            return await connection.exchange(request_id.encode(), request_id)
    except OutcomeUnknownError as error:
        return error
    finally:
        await pools.release(searcher, connection, None)
