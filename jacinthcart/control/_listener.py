"""Hands each datagram to the part that it is meant for."""

from typing import Any

from jacinthcart.control._permits import BasePermitService
from jacinthcart.control._warm_spread import WarmSpread
from jacinthcart.errors import InvalidMessageError
from jacinthcart.membership import HeartbeatPeers
from jacinthcart.settings import Endpoint


class DatagramListener:
    """Knows the kinds of datagrams between control processes."""

    def __init__(
        self,
        heartbeats: HeartbeatPeers,
        permits: BasePermitService,
        warm: WarmSpread,
    ) -> None:
        """Keep the parts that take datagrams."""
        self._heartbeats = heartbeats
        self._permits = permits
        self._warm = warm

    async def take(
        self,
        message: dict[str, Any],
        source: Endpoint,
        received_at: float,
    ) -> None:
        """Take one datagram; raise InvalidMessageError."""
        match message.get('kind'):
            case 'heartbeat':
                await self._heartbeats.handle_heartbeat(message, source)
            case 'heartbeat_ack':
                self._heartbeats.handle_ack(message)
            case 'borrow' | 'lend':
                await self._permits.handle_datagram(message, received_at)
            case 'warm':
                self._warm.take_message(message)
            case unknown:
                raise InvalidMessageError(f'unknown kind {unknown}')
