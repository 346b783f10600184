"""Pulls settings and the warm table from other control processes."""

import abc
from typing import Any

import httpx

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.settings import Endpoint
from jacinthcart.sync._messages import PeerSettings, decode_peer_settings
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import decode_json

_TIMEOUT_S = 1.0


class BasePeerClient(abc.ABC):
    """Reads from other VMs' control processes."""

    @abc.abstractmethod
    async def pull_settings(self, peer: Endpoint, after: int) -> PeerSettings:
        """Return what the peer knows above a revision.

        Raise WireError or InvalidMessageError.
        """

    @abc.abstractmethod
    async def pull_warm(self, peer: Endpoint) -> dict[str, Any]:
        """Return the peer's warm entries; raise as `pull_settings`."""


class PeerSettingsClient(BasePeerClient):
    """Reads from peers over HTTP."""

    def __init__(self, metrics: Metrics) -> None:
        """Prepare the client; connections open on demand."""
        self._metrics = metrics
        self._client = httpx.AsyncClient(timeout=_TIMEOUT_S, trust_env=False)

    async def pull_settings(self, peer: Endpoint, after: int) -> PeerSettings:
        """Return what the peer knows above a revision."""
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
        """Close the connections."""
        await self._client.aclose()

    async def _get(self, peer: Endpoint, target: str) -> Any:
        url = f'http://{peer.address}:{peer.port}{target}'
        try:
            response = await self._client.get(url)
        except httpx.HTTPError as error:
            raise WireError(f'peer: {type(error).__name__}') from error
        if not response.is_success:
            raise WireError(f'peer: status {response.status_code}')
        received = response.content
        self._metrics.count('bytes', 'http_received', amount=len(received))
        return decode_json(received)
