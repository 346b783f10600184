"""Pulls settings and the warm table from other control processes."""

import abc
from typing import Any

from jacinthcart.errors import InvalidMessageError
from jacinthcart.settings import Endpoint
from jacinthcart.sync._messages import PeerSettings, decode_peer_settings
from jacinthcart.sync._reader import read_json
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import ConnectionPool

_TIMEOUT_S = 1.0


class BasePeerClient(abc.ABC):
    """Reads from the control processes of other VMs."""

    @abc.abstractmethod
    async def pull_settings(self, peer: Endpoint, after: int) -> PeerSettings:
        """Return the peer's settings that are newer than revision `after`.

        Raise WireError or InvalidMessageError.
        """

    @abc.abstractmethod
    async def pull_warm(self, peer: Endpoint) -> dict[str, Any]:
        """Return the peer's warm entries by searcher id.

        Raise WireError or InvalidMessageError.
        """


class PeerSettingsClient(BasePeerClient):
    """Reads from peers over HTTP."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a client that counts the received bytes in `metrics`."""
        self._metrics = metrics

    async def pull_settings(self, peer: Endpoint, after: int) -> PeerSettings:
        """Return the peer's settings that are newer than revision `after`."""
        message = await self._get(peer, f'/v1/settings?after={after}')
        return decode_peer_settings(message)

    async def pull_warm(self, peer: Endpoint) -> dict[str, Any]:
        """Return the peer's warm entries by searcher id."""
        message = await self._get(peer, '/v1/warm')
        entries = message.get('entries') if isinstance(message, dict) else None
        if not isinstance(entries, dict):
            raise InvalidMessageError('warm entries are not an object')
        return entries

    async def close(self) -> None:
        """Do nothing, because each pull closes its own connection."""

    async def _get(self, peer: Endpoint, target: str) -> Any:
        # Pulls are rare and go to many peers, so connections are not reused.
        pool = ConnectionPool(peer.address, peer.port, limit=1)
        try:
            return await read_json(pool, target, _TIMEOUT_S, self._metrics)
        finally:
            await pool.close()
