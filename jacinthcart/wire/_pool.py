"""A bounded pool of kept connections to one server."""

import anyio

from jacinthcart.errors import NotSentError
from jacinthcart.wire._client import HttpConnection, HttpResponse


class ConnectionPool:
    """Sends requests over at most `limit` connections to one server.

    A call waits for a free connection. A connection whose call failed or
    was cancelled is closed, never reused, so that a late response cannot
    reach another caller.
    """

    def __init__(
        self,
        address: str,
        port: int,
        limit: int,
        *,
        connect_timeout_s: float = 1,
    ) -> None:
        """Keep the server's address; connections open on demand."""
        self.address = address
        self.port = port
        self._connect_timeout_s = connect_timeout_s
        self._limiter = anyio.Semaphore(limit)
        self._idle: list[HttpConnection] = []
        self._closed = False

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float = 5,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpResponse:
        """Send one request; raise NotSentError or OutcomeUnknownError.

        Raise TimeoutError when no response came within `timeout_s`; the
        request may then have been sent.
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
        """Close idle connections; those in use close after their call."""
        self._closed = True
        while self._idle:
            await self._idle.pop().close()

    async def _acquire(self) -> HttpConnection:
        if self._closed:
            raise NotSentError('connection pool is closed')
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            await connection.close()
        return await HttpConnection.open(
            self.address,
            self.port,
            self._connect_timeout_s,
        )

    async def _release(self, connection: HttpConnection) -> None:
        if connection.is_reusable and not self._closed:
            self._idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.close()
