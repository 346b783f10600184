"""HTTP server with graceful shutdown."""

import socket
import time

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.lowlevel import checkpoint

from jacinthcart.front._connection import ServerConnection
from jacinthcart.front._memory import CallerMemory, CallerMemoryParameters
from jacinthcart.front._messages import BaseRequestHandler
from jacinthcart.network import Endpoint
from jacinthcart.program import Clock
from jacinthcart.streams import ProcessingBudget, accept, is_readable, listen
from jacinthcart.telemetry import Logger, Metrics

_BACKLOG = 512
#: Bytes held for the connections of a server without a limit of its own, and
#: bytes of these connections themselves.
_DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
_CLOSE_CHECK_INTERVAL_S = 0.05
#: Seconds between a failed accept and the next one.
_ACCEPT_RETRY_S = 0.05
#: Seconds to accept the connections that wait when the server closes. New ones
#: may arrive all the time.
_ACCEPT_WAITING_S = 0.3


def create_processing() -> ProcessingBudget:
    """Return a budget for the callers of one server or of several.

    On a busy machine this process gets less than a processor. The budget
    counts interruptions as use, so that it is a share of what is left.
    """
    return ProcessingBudget(read_processor_s=time.perf_counter)


class HttpServer:
    """Serves one address, with a task for each connection."""

    def __init__(
        self,
        endpoint: Endpoint,
        handler: BaseRequestHandler,
        clock: Clock,
        logger: Logger,
        memory: CallerMemory | None = None,
        processing: ProcessingBudget | None = None,
    ) -> None:
        """Initialise; `start` binds the address.

        Servers may share `memory` and `processing`; by default, the server has
        its own, so that other servers' clients do not delay its own.
        """
        self._endpoint = endpoint
        self._handler = handler
        self._clock = clock
        self._logger = logger
        self._memory = memory or CallerMemory(
            CallerMemoryParameters(
                _DEFAULT_MEMORY_BYTES, _DEFAULT_MEMORY_BYTES
            ),
            clock,
            Metrics(),
            logger,
        )
        self._processing = processing or create_processing()
        self._connections: set[ServerConnection] = set()
        self._accepting: anyio.CancelScope | None = None
        self._listener_closed = anyio.Event()
        self._is_draining = False

    async def start(self, tasks: TaskGroup) -> None:
        """Bind and accept connections; raise OSError if the port is in use."""
        listening = await listen(
            self._endpoint.address, self._endpoint.port, _BACKLOG
        )
        self._accepting = anyio.CancelScope()
        tasks.start_soon(self._accept, listening, self._accepting, tasks)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True
        for connection in self._connections:
            connection.is_draining = True

    async def close(self) -> None:
        """Stop accepting, close idle connections and wait for busy ones."""
        if self._accepting is not None:
            self._accepting.cancel()
            await self._listener_closed.wait()
        while self._connections:
            for connection in list(self._connections):
                connection.close_if_idle()
            await anyio.sleep(_CLOSE_CHECK_INTERVAL_S)

    async def _accept(
        self,
        raw_socket: socket.socket,
        accepting: anyio.CancelScope,
        tasks: TaskGroup,
    ) -> None:
        # Closes the socket also if the task is cancelled.
        with raw_socket:
            with accepting:
                await self._accept_all(raw_socket, tasks)
            # Closing the socket resets the connections that wait in its
            # queue, although their callers may have sent requests.
            with anyio.move_on_after(_ACCEPT_WAITING_S):
                while is_readable(raw_socket):
                    await self._accept_one(raw_socket, tasks)
                    await checkpoint()
        self._listener_closed.set()
        self._logger.debug('listener closed', port=self._endpoint.port)

    async def _accept_all(
        self, raw_socket: socket.socket, tasks: TaskGroup
    ) -> None:
        while True:
            await anyio.wait_readable(raw_socket)
            while await self._accept_one(raw_socket, tasks):
                await checkpoint()

    async def _accept_one(
        self, raw_socket: socket.socket, tasks: TaskGroup
    ) -> bool:
        """Return whether a connection was accepted."""
        try:
            # It may have been reset meanwhile.
            stream = accept(raw_socket)
        except OSError as error:
            # No descriptor is free, or the caller has already disconnected.
            self._logger.error(
                'accept failed', limit_key='accept', error=repr(error)
            )
            await anyio.sleep(_ACCEPT_RETRY_S)
            return False
        if stream is None:
            return False
        tasks.start_soon(self._run_connection, self._add_connection(stream))
        return True

    def _add_connection(self, stream: ByteStream) -> ServerConnection:
        connection = ServerConnection(
            stream,
            self._handler,
            self._clock,
            self._logger,
            self._memory,
            self._processing,
        )
        connection.is_draining = self._is_draining
        self._connections.add(connection)
        return connection

    async def _run_connection(self, connection: ServerConnection) -> None:
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
