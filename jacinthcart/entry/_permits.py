"""Sources of the rate permits required to forward requests."""

import abc
from typing import Any

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.feed import StateFeed
from jacinthcart.limits import Permit, PermitClient
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import ConnectionPool, decode_json, encode_json

_CALL_TIMEOUT_S = 1


class BasePermitSource(abc.ABC):
    """Issues permits within the fleet-wide rate limits of workspaces."""

    @abc.abstractmethod
    async def acquire(self, workspace_id: str) -> Permit:
        """Wait for one permit.

        Raise RefusalError with OVER_RATE if the workspace exceeds its rate
        limit, or with NOT_READY if control does not answer.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Run background work until cancelled."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class ControlPermitSource(BasePermitSource):
    """Requests permits from the VM's control process in batches."""

    def __init__(self, feed: StateFeed, metrics: Metrics) -> None:
        """Use the feed's process settings, policy and clock."""
        process = feed.process
        self._pool = ConnectionPool(
            process.address,
            process.control_port,
            limit=1,
        )
        self._client = PermitClient(
            self._post,
            lambda: feed.view.policy.permit_batch_ms,
            feed.clock,
            metrics,
        )

    async def acquire(self, workspace_id: str) -> Permit:
        """Wait for one permit; raise RefusalError."""
        return await self._client.acquire(workspace_id)

    async def run(self) -> None:
        """Request batches from control until cancelled."""
        await self._client.run()

    async def close(self) -> None:
        """Close the connection to control."""
        await self._pool.close()

    async def _post(self, body: dict[str, Any]) -> dict[str, Any]:
        """Send one `POST /v1/permits`; raise WireError or TimeoutError."""
        response = await self._pool.call(
            'POST',
            '/v1/permits',
            encode_json(body),
            timeout_s=_CALL_TIMEOUT_S,
        )
        if not response.is_success:
            raise WireError(f'control sent status {response.status}')
        message = decode_json(response.body)
        if not isinstance(message, dict):
            raise InvalidMessageError('permits: not an object')
        return message
