"""A bounded pool of keep-alive connections to one server."""

import anyio

from jacinthcart.errors import NotSentError
from jacinthcart.wire._client import HttpConnection, HttpResponse


class ConnectionPool:
    """Sends requests over at most `limit` connections to one server.

    A call waits until a connection is available. After a failed or
    cancelled call the connection is closed instead of reused, so that a
    late response cannot be returned to another call.
    """

    def __init__(
        self,
        address: str,
        port: int,
        limit: int,
        *,
        connect_timeout_s: float = 1,
    ) -> None:
        """Create an empty pool; connections open on demand."""
        self.address = address
        self.port = port
        self._connect_timeout_s = connect_timeout_s
        self._limiter = anyio.Semaphore(limit)
        self._idle_connections: list[HttpConnection] = []
        self._is_closed = False

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float = 5,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpResponse:
        """Send one request; raise NotSentError or OutcomeUnknownError.

        Raise TimeoutError if no response arrives within `timeout_s`; the
        request may have been sent in that case.
        """
        with anyio.fail_after(timeout_s):
            async with self._limiter:
                connection = await self._acquire()
                try:
                    return await connection.request(
                        method,
                        target,
                        body,
                        headers,
                    )
                finally:
                    await self._release(connection)

    async def close(self) -> None:
        """Close idle connections; busy ones are closed after their call."""
        self._is_closed = True
        while self._idle_connections:
            await self._idle_connections.pop().close()

    async def _acquire(self) -> HttpConnection:
        if self._is_closed:
            raise NotSentError('connection pool is closed')
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_reusable:
                return connection
            await connection.close()
        return await HttpConnection.open(
            self.address,
            self.port,
            self._connect_timeout_s,
        )

    async def _release(self, connection: HttpConnection) -> None:
        if connection.is_reusable and not self._is_closed:
            self._idle_connections.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.close()
