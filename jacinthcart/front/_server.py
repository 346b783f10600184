"""HTTP server with graceful shutdown."""

import anyio
from anyio.abc import Listener, SocketStream, TaskGroup

from jacinthcart.front._connection import BaseRequestHandler, ServerConnection
from jacinthcart.network import Endpoint
from jacinthcart.program import Clock
from jacinthcart.telemetry import Logger

_BACKLOG = 512
_CLOSE_CHECK_INTERVAL_S = 0.05


class HttpServer:
    """Serves one address, with a task for each connection."""

    def __init__(
        self,
        endpoint: Endpoint,
        handler: BaseRequestHandler,
        clock: Clock,
        logger: Logger,
    ) -> None:
        """Initialise; `start` binds the address."""
        self._endpoint = endpoint
        self._handler = handler
        self._clock = clock
        self._logger = logger
        self._connections: set[ServerConnection] = set()
        self._listener: Listener[SocketStream] | None = None
        self._is_draining = False

    async def start(self, tasks: TaskGroup) -> None:
        """Bind and accept connections; raise OSError if the port is in use."""
        listener = await anyio.create_tcp_listener(
            local_host=self._endpoint.address,
            local_port=self._endpoint.port,
            backlog=_BACKLOG,
        )
        self._listener = listener.listeners[0]
        tasks.start_soon(self._accept, self._listener, tasks)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True
        for connection in self._connections:
            connection.is_draining = True

    async def close(self) -> None:
        """Stop accepting, close idle connections and wait for busy ones."""
        if self._listener is not None:
            await self._listener.aclose()
        while self._connections:
            for connection in list(self._connections):
                connection.close_if_idle()
            await anyio.sleep(_CLOSE_CHECK_INTERVAL_S)

    async def _accept(
        self,
        listener: Listener[SocketStream],
        tasks: TaskGroup,
    ) -> None:
        try:
            # Closes the socket also if the task is cancelled.
            async with listener:
                await listener.serve(self._run_connection, tasks)
        except anyio.ClosedResourceError:
            self._logger.debug('listener closed', port=self._endpoint.port)

    async def _run_connection(self, stream: SocketStream) -> None:
        connection = ServerConnection(
            stream,
            self._handler,
            self._clock,
            self._logger,
        )
        connection.is_draining = self._is_draining
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
