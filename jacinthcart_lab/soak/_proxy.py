"""Loopback proxy that delays data, drops data or resets connections."""

import enum

import anyio
from anyio.abc import Listener, SocketStream, TaskGroup

from jacinthcart.network import Endpoint
from jacinthcart.streams import STREAM_FAILURES

_MAX_CHUNK_BYTES = 65536
_DELAY_S = 0.2
_DISCONNECT_ERRORS = (*STREAM_FAILURES, anyio.EndOfStream)


class ProxyMode(enum.StrEnum):
    """How the proxy treats connections and data."""

    PASS = 'pass'
    #: Forward each chunk late.
    DELAY = 'delay'
    #: Reset open and new connections.
    RESET = 'reset'
    #: Drop the data from the store.
    NO_ANSWERS = 'no_answers'
    #: Drop the data in both directions.
    SILENT = 'silent'


class FaultProxy:
    """Forwards the connections of one VM to the store."""

    def __init__(self, listen: Endpoint, target: Endpoint) -> None:
        """Create the proxy; `start` makes it listen."""
        self.mode = ProxyMode.PASS
        self._listen = listen
        self._target = target
        self._streams: set[SocketStream] = set()

    async def start(self, tasks: TaskGroup) -> None:
        """Listen until the task group is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._listen.address,
            local_port=self._listen.port,
        )
        tasks.start_soon(self._accept, listener.listeners[0], tasks)

    async def switch(self, mode: ProxyMode) -> None:
        """Change the mode; RESET also aborts open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for stream in list(self._streams):
                await anyio.aclose_forcefully(stream)

    async def _accept(
        self,
        listener: Listener[SocketStream],
        tasks: TaskGroup,
    ) -> None:
        async with listener:
            await listener.serve(self._handle_connection, tasks)

    async def _handle_connection(self, client: SocketStream) -> None:
        if self.mode is ProxyMode.RESET:
            await anyio.aclose_forcefully(client)
            return
        try:
            server = await anyio.connect_tcp(
                self._target.address,
                self._target.port,
            )
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        pair = {client, server}
        self._streams |= pair
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, client, server, tasks, False)
                tasks.start_soon(self._forward, server, client, tasks, True)
        finally:
            self._streams -= pair
            with anyio.CancelScope(shield=True):
                for stream in pair:
                    await anyio.aclose_forcefully(stream)

    async def _forward(
        self,
        source: SocketStream,
        target: SocketStream,
        tasks: TaskGroup,
        is_answer: bool,
    ) -> None:
        try:
            while True:
                received = await source.receive(_MAX_CHUNK_BYTES)
                if self.mode is ProxyMode.DELAY:
                    await anyio.sleep(_DELAY_S)
                is_dropped = self.mode is ProxyMode.SILENT or (
                    is_answer and self.mode is ProxyMode.NO_ANSWERS
                )
                if not is_dropped:
                    await target.send(received)
        except _DISCONNECT_ERRORS:
            tasks.cancel_scope.cancel()
