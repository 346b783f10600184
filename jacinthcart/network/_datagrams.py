"""Exchange of JSON messages between processes over UDP."""

import abc
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import UDPSocket

from jacinthcart.errors import InvalidMessageError
from jacinthcart.network._models import Endpoint
from jacinthcart.program import Clock, read_boot_clock
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import decode_json, encode_json

#: Below the usual Ethernet MTU, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1400

#: Called with a message, its source and its time of arrival in seconds;
#: raises InvalidMessageError for a malformed message.
DatagramListener = Callable[[dict[str, Any], Endpoint, float], Awaitable[None]]


class BaseDatagrams(abc.ABC):
    """Sends messages to peers; delivery is not guaranteed."""

    @abc.abstractmethod
    async def send(self, message: dict[str, Any], peer: Endpoint) -> None:
        """Send a message; count it as not sent if that fails."""


class DatagramEndpoint(BaseDatagrams):
    """Sends and receives JSON datagrams on one UDP socket."""

    def __init__(
        self,
        local: Endpoint,
        metrics: Metrics,
        clock: Clock = read_boot_clock,
    ) -> None:
        """Initialise; `start` binds the local address."""
        self._local = local
        self._metrics = metrics
        self._clock = clock
        self._socket: UDPSocket | None = None
        # A socket supports only one concurrent send.
        self._send_lock = anyio.Lock()

    async def start(self) -> None:
        """Bind the socket; raise OSError if the port is in use."""
        self._socket = await anyio.create_udp_socket(
            local_host=self._local.address,
            local_port=self._local.port,
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            await self._socket.aclose()

    async def send(self, message: dict[str, Any], peer: Endpoint) -> None:
        """Send a message; see the base class.

        Messages longer than MAX_DATAGRAM_BYTES are not sent.
        """
        body = encode_json(message)
        if self._socket is None or len(body) > MAX_DATAGRAM_BYTES:
            self._metrics.count('datagram', 'not_sent')
            return
        try:
            async with self._send_lock:
                await self._socket.sendto(body, peer.address, peer.port)
        except OSError:
            self._metrics.count('datagram', 'not_sent')
            return
        self._metrics.count('bytes', 'datagram_sent', amount=len(body))

    async def run(self, listener: DatagramListener) -> None:
        """Receive messages until cancelled; drop and count malformed ones."""
        if self._socket is None:
            return
        async for body, (address, port) in self._socket:
            received_at = self._clock()
            self._metrics.count('bytes', 'datagram_received', amount=len(body))
            source = Endpoint.model_construct(address=address, port=port)
            await self._deliver(body, source, received_at, listener)

    async def _deliver(
        self,
        body: bytes,
        source: Endpoint,
        received_at: float,
        listener: DatagramListener,
    ) -> None:
        try:
            message = decode_datagram(body)
            await listener(message, source, received_at)
        except InvalidMessageError:
            self._metrics.count('datagram', 'malformed')


def decode_datagram(body: bytes) -> dict[str, Any]:
    """Decode a datagram; raise InvalidMessageError."""
    if len(body) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError('datagram is too long')
    message = decode_json(body)
    if not isinstance(message, dict):
        raise InvalidMessageError('datagram is not a JSON object')
    return message
