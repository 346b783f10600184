"""Dispatches incoming datagrams to their handlers."""

from typing import Any

from jacinthcart.control._permits import BasePermitService
from jacinthcart.control._warm_replicator import WarmReplicator
from jacinthcart.errors import InvalidMessageError
from jacinthcart.membership import HeartbeatPeers
from jacinthcart.settings import Endpoint


class DatagramHandler:
    """Dispatches datagrams of other control processes by their kind."""

    def __init__(
        self,
        heartbeats: HeartbeatPeers,
        permits: BasePermitService,
        warm: WarmReplicator,
    ) -> None:
        """Create a handler that dispatches to the given objects."""
        self._heartbeats = heartbeats
        self._permits = permits
        self._warm = warm

    async def handle(
        self,
        message: dict[str, Any],
        source: Endpoint,
        received_at: float,
    ) -> None:
        """Handle one datagram; raise InvalidMessageError if invalid."""
        match message.get('kind'):
            case 'heartbeat':
                await self._heartbeats.handle_heartbeat(message, source)
            case 'heartbeat_ack':
                self._heartbeats.handle_ack(message)
            case 'borrow' | 'lend':
                await self._permits.handle_datagram(message, received_at)
            case 'warm':
                self._warm.handle_message(message)
            case unknown:
                raise InvalidMessageError(f'unknown kind {unknown}')
