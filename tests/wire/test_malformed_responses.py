"""Tests of malformed responses of servers, over loopback sockets."""

import itertools
import unittest

import anyio

from jacinthcart.errors import MalformedResponseError, OutcomeUnknownError
from jacinthcart.wire import ConnectionPool, HttpResponse
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME
from tests.scripted_server import ScriptedServer

_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


async def _call_all(
    server: ScriptedServer, count: int
) -> list[HttpResponse | OutcomeUnknownError]:
    outcomes: list[HttpResponse | OutcomeUnknownError] = []
    async with server.listen() as port:
        pool = ConnectionPool('127.0.0.1', port, limit=1)
        for _ in range(count):
            try:
                outcomes.append(await pool.call('GET', '/'))
            except OutcomeUnknownError as error:
                outcomes.append(error)
        await pool.close()
    return outcomes


class MalformedResponseTests(unittest.TestCase):
    """Every client of `wire` treats a malformed response as none."""

    def test_malformed_response_is_an_error(self) -> None:
        """Guards against a malformed response that a caller acts on."""
        for name, malformation in MALFORMATIONS_BY_NAME.items():
            malformed = malformation.apply(_RESPONSE)
            for script, piece_bytes in itertools.product(
                ([malformed], [_RESPONSE, malformed]), (1, len(malformed))
            ):
                with self.subTest(name, script=script, piece=piece_bytes):
                    server = ScriptedServer(script, piece_bytes)
                    outcomes = anyio.run(_call_all, server, len(script))
                    self.assertIsInstance(outcomes[-1], MalformedResponseError)
                    self.assertEqual(server.connections, 1)

    def test_interim_responses_are_skipped(self) -> None:
        """Guards against a call that fails because of them."""
        interim = b'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'
        message = interim * 3 + _RESPONSE
        for piece_bytes in (1, len(message)):
            server = ScriptedServer([message, message], piece_bytes)
            for response in anyio.run(_call_all, server, 2):
                self.assertEqual(response.body, b'ok')
            self.assertEqual(server.connections, 1)

    def test_connection_of_a_malformed_response_is_not_used_again(self) -> None:
        """Guards against the rest of a malformed response."""
        malformed = MALFORMATIONS_BY_NAME["b'HTTP/1.1 000 OK'"].apply(_RESPONSE)
        server = ScriptedServer([malformed, _RESPONSE], len(malformed))
        outcomes = anyio.run(_call_all, server, 2)
        self.assertEqual(outcomes[1].body, b'ok')
        self.assertEqual(server.connections, 2)

    def test_bytes_after_a_response_are_no_other_response(self) -> None:
        """Guards against a call that gets a copy of the one before."""
        script = [_RESPONSE * 2, _RESPONSE.replace(b'ok', b'no')]
        server = ScriptedServer(script, 2 * len(_RESPONSE))
        outcomes = anyio.run(_call_all, server, 2)
        self.assertEqual([one.body for one in outcomes], [b'ok', b'no'])
        self.assertEqual(server.connections, 2)
