"""Clients that send requests to one searcher."""

import abc
import dataclasses
from collections.abc import Callable

import anyio

from jacinthcart.dispatch._budget import RateLimiter
from jacinthcart.dispatch._reply import (
    SearcherRefusalError,
    SearcherReply,
    SearchMessage,
    parse_reply,
)
from jacinthcart.errors import NotSentError
from jacinthcart.feed import StateFeed
from jacinthcart.wire import HttpConnection, encode_json

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class SearcherTarget:
    """Address of a searcher and this VM's connection limit to it."""

    #: Searcher id, qualified by its service.
    searcher_id: str
    #: IP address.
    address: str
    #: TCP port.
    port: int
    #: Maximum number of connections from this VM to the searcher.
    max_connections: int


class BaseSearcherClient(abc.ABC):
    """Sends requests to one searcher."""

    @abc.abstractmethod
    async def search(
        self,
        message: SearchMessage,
        deadline: float,
    ) -> SearcherReply:
        """Send a request and return the verified reply.

        Raise NotSentError when nothing was sent, SearcherRefusalError when
        the searcher refused without running the request, and
        OutcomeUnknownError for any other failure. `deadline` is in seconds
        on the program's clock.
        """

    @abc.abstractmethod
    async def cancel(self, sub_id: str) -> None:
        """Cancel a running request; do nothing if it has ended."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close idle connections now and busy ones after their request."""


#: Creates a client for one searcher; connections open on demand.
OpenSearcherClient = Callable[[SearcherTarget], BaseSearcherClient]


class HttpSearcherClient(BaseSearcherClient):
    """Sends requests over a pool of persistent HTTP connections.

    The caller runs at most `target.max_connections` searches concurrently;
    a new connection opens only when no pooled one is idle. A connection
    whose request failed, was cancelled or got a wrong reply is closed, so
    that a late reply cannot be read by another request. Closing the
    connection tells the searcher that the request is cancelled.
    """

    def __init__(
        self,
        target: SearcherTarget,
        feed: StateFeed,
        connect_limiter: RateLimiter,
    ) -> None:
        """Use `connect_limiter`, shared by all clients of this VM."""
        self._target = target
        self._feed = feed
        self._connect_limiter = connect_limiter
        self._idle: list[HttpConnection] = []
        self._busy_by_sub_id: dict[str, HttpConnection] = {}
        self._closed = False

    async def search(
        self,
        message: SearchMessage,
        deadline: float,
    ) -> SearcherReply:
        """Return the verified reply; the base class lists the errors."""
        connection = await self._acquire()
        self._busy_by_sub_id[message.sub_id] = connection
        is_usable = False
        try:
            reply = await self._exchange(connection, message, deadline)
        except SearcherRefusalError:
            is_usable = True
            raise
        else:
            is_usable = True
        finally:
            self._busy_by_sub_id.pop(message.sub_id)
            await self._release(connection, is_usable)
        return reply

    async def cancel(self, sub_id: str) -> None:
        """Close the request's connection, which cancels the request."""
        connection = self._busy_by_sub_id.get(sub_id)
        if connection is not None:
            await connection.close()

    async def close(self) -> None:
        """Close idle connections; busy ones close after their request."""
        self._closed = True
        while self._idle:
            await self._idle.pop().close()

    async def _exchange(
        self,
        connection: HttpConnection,
        message: SearchMessage,
        deadline: float,
    ) -> SearcherReply:
        remaining_ms = int((deadline - self._feed.clock()) * _MS_PER_S)
        if remaining_ms <= 0:
            raise NotSentError('deadline passed before the request was sent')
        response = await connection.request(
            'POST',
            '/v1/search',
            encode_json(message.encode()),
            [(b'x-deadline-ms', str(remaining_ms).encode())],
        )
        return parse_reply(message, response.status, response.body)

    async def _acquire(self) -> HttpConnection:
        if self._closed:
            raise NotSentError('client is closed')
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            await connection.close()
        rate_per_s = self._feed.view.policy.connect_rate_per_s
        await self._connect_limiter.wait(rate_per_s)
        return await HttpConnection.open(
            self._target.address,
            self._target.port,
        )

    async def _release(
        self,
        connection: HttpConnection,
        is_usable: bool,
    ) -> None:
        if is_usable and connection.is_reusable and not self._closed:
            self._idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.close()


def create_http_client_factory(feed: StateFeed) -> OpenSearcherClient:
    """Return a factory whose clients share one connection rate limit."""
    connect_limiter = RateLimiter(feed.clock)
    return lambda target: HttpSearcherClient(target, feed, connect_limiter)
