"""Tests of the responses to HEAD requests."""

import itertools
from unittest import TestCase

import anyio

from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.routing import (
    ConnectionParameters,
    SearcherPools,
    SearcherResponse,
)
from tests.scripted_server import ScriptedServer
from tests.support import create_searcher

_TIMEOUT_S = 10
_HEAD = b'HTTP/1.1 200 OK\r\nx-jacinthcart-request-id: %s\r\n'
_GET_RESPONSE = b'%bcontent-length: 2\r\n\r\nok' % _HEAD
_LATE_RESPONSE = _GET_RESPONSE.replace(b'%s', b'other')
_FRAMINGS = (
    b'content-length: 2\r\n',
    b'transfer-encoding: chunked\r\n',
    b'',
)


class HeadRequestTests(TestCase):
    """A response to HEAD ends with its head (RFC 9110, section 9.3.2)."""

    def test_response_to_head_has_no_body(self) -> None:
        """Guards against waiting until the deadline for a body."""
        for framing, late in itertools.product(
            _FRAMINGS, (b'', _LATE_RESPONSE)
        ):
            response = b'%b%b%b\r\n' % (late, _HEAD, framing)
            for piece_bytes in (1, len(response)):
                with self.subTest(response, piece=piece_bytes):
                    server = ScriptedServer(
                        [_GET_RESPONSE, response, _GET_RESPONSE], piece_bytes
                    )
                    responses = anyio.run(_exchange_all, server)
                    bodies = [one.body for one in responses]
                    self.assertEqual(bodies, [b'ok', b'', b'ok'])

    def test_body_in_a_response_to_head_belongs_to_no_request(self) -> None:
        """Guards against a body that is taken for the next response."""
        server = ScriptedServer(itertools.repeat(_GET_RESPONSE), 1)
        responses = anyio.run(_exchange_all, server)
        self.assertEqual([one.body for one in responses], [b'ok', b'', b'ok'])
        self.assertEqual(server.connections, 2)


async def _exchange_all(server: ScriptedServer) -> list[SearcherResponse]:
    """Send GET, HEAD and GET one after another."""
    pools = SearcherPools(
        PlatformSearcherCodec(), anyio.current_time, ConnectionParameters()
    )
    responses = []
    async with server.listen() as port:
        searcher = create_searcher('s', port=port)
        for number, expects_body in enumerate((True, False, True)):
            request_id = str(number)
            connection = await pools.acquire(
                searcher, request_id, at_most_once=False
            )
            with anyio.fail_after(_TIMEOUT_S):
                response = await connection.exchange(
                    request_id.encode(), request_id, expects_body=expects_body
                )
            responses.append(response)
            await pools.release(searcher, connection, None)
        await pools.close()
    return responses
