"""Tests of the caller's HTTP client over loopback."""

import random
import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.caller import Address, Caller, OutcomeLostError
from tests.caller._fakes import ROUTE

HEAD = b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'


class ResendingTest(unittest.TestCase):
    """The HTTP client never resends a request."""

    def test_connection_lost_after_the_request_was_sent(self) -> None:
        """Guards against automatic retries in the HTTP library."""
        posts: list[bytes] = []
        port = 0

        async def serve(stream: SocketStream) -> None:
            async with stream:
                received = await stream.receive()
                while not received.startswith(b'POST'):
                    await stream.send(list_addresses(port))
                    received = await stream.receive()
                posts.append(received)

        async def run() -> None:
            nonlocal port
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                caller = Caller(
                    [Address('127.0.0.1', port)],
                    'key',
                    anyio.current_time,
                    random.Random(1),
                )
                with self.assertRaises(OutcomeLostError):
                    await caller.submit(ROUTE, {}, 5000)
                await caller.close()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(len(posts), 1)


def list_addresses(port: int) -> bytes:
    """Return an HTTP response that lists one VM."""
    body = (
        b'{"addresses": [{"address": "127.0.0.1", "port": %d}],'
        b'"keep_for_ms": 5000, "request_id_prefix": "vm1.inc.5"}' % port
    )
    return HEAD + b'content-length: %d\r\n\r\n%s' % (len(body), body)
