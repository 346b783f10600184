"""Tests of late copies of searchers' responses."""

from unittest import TestCase

import anyio
from anyio.abc import SocketAttribute, SocketStream

from jacinthcart.catalogue import Searcher
from jacinthcart.routing import (
    BaseSearcherCodec,
    CallerRequest,
    ConnectionParameters,
    ResponseHead,
    SearcherPools,
    SearcherResponse,
)
from tests.support import create_searcher

_REJECTION = b'HTTP/1.1 503 Full\r\nid: %s\r\ncontent-length: 0\r\n\r\n'
_SUCCESS = b'HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: 0\r\n\r\n'


class _Codec(BaseSearcherCodec):
    """Codec whose requests consist of their id."""

    def encode_request(
        self,
        request: CallerRequest,
        searcher_id: str,
        remaining_s: float,
        workspace: str | None,
    ) -> bytes:
        """Return the id."""
        return request.request_id.encode()

    def find_request_id(self, head: ResponseHead) -> str | None:
        """Return the id in the header `id`."""
        return dict(head.headers)[b'id'].decode()

    def decode_response(
        self, head: ResponseHead, body: bytes
    ) -> SearcherResponse:
        """Return a response that is not run if its status is 503."""
        return SearcherResponse(
            head=head,
            body=body,
            stamp='stamp',
            is_not_run=head.status == 503,
            load=None,
            idle_timeout_s=None,
            closes_connection=False,
        )


class _Searcher:
    """Searcher that rejects the first request and answers the others.

    A connection that carried the rejection carries a copy of it before its
    next response.
    """

    def __init__(self) -> None:
        """Create a searcher that has received nothing."""
        self.connections = 0
        self.runs = 0
        self._is_first = True

    async def serve(self, stream: SocketStream) -> None:
        """Answer the requests of a connection."""
        self.connections += 1
        async with stream:
            try:
                await self._answer_all(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def _answer_all(self, stream: SocketStream) -> None:
        copy = b''
        while True:
            request_id = await stream.receive()
            if self._is_first:
                self._is_first = False
                copy = _REJECTION % request_id
                await stream.send(copy)
                continue
            self.runs += 1
            await stream.send(copy + _SUCCESS % request_id)
            copy = b''


class _RejectingSearcher(_Searcher):
    """Searcher that rejects every request."""

    async def _answer_all(self, stream: SocketStream) -> None:
        while True:
            await stream.send(_REJECTION % await stream.receive())


class LateRejectionTests(TestCase):
    """Each send of a request gets the response to that send."""

    def test_copy_of_a_rejection_is_not_the_next_response(self) -> None:
        """Guards against a second run of a request that may run once.

        The second send took a copy of the first send's rejection as its
        response, while the searcher ran the request.
        """
        searcher = _Searcher()
        statuses = anyio.run(_send, ['a', 'a'], searcher)
        self.assertEqual(searcher.runs, 1)
        self.assertEqual(statuses, [503, 200])

    def test_rejection_does_not_prevent_reuse_by_other_requests(self) -> None:
        """Guards against a new connection after every rejection."""
        searcher = _Searcher()
        statuses = anyio.run(_send, ['a', 'b', 'c'], searcher)
        self.assertEqual(statuses, [503, 200, 200])
        self.assertEqual(searcher.connections, 1)

    def test_remembered_rejections_are_bounded(self) -> None:
        """Guards against memory that grows with each rejection."""
        searcher = _RejectingSearcher()
        ids = [str(number) for number in range(600)]
        statuses = anyio.run(_send, ids, searcher)
        self.assertEqual(set(statuses), {503})
        self.assertEqual(searcher.connections, 3)


async def _send(request_ids: list[str], served: _Searcher) -> list[int]:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    searcher = create_searcher('s', port=port)
    pools = SearcherPools(_Codec(), anyio.current_time, ConnectionParameters())
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, served.serve)
        statuses = [
            await _exchange(pools, searcher, request_id)
            for request_id in request_ids
        ]
        await pools.close()
        tasks.cancel_scope.cancel()
    return statuses


async def _exchange(
    pools: SearcherPools, searcher: Searcher, request_id: str
) -> int:
    connection = await pools.acquire(searcher, request_id, at_most_once=True)
    response = await connection.exchange(request_id.encode(), request_id)
    await pools.release(searcher, connection, None)
    return response.head.status
