"""Connects the program to its dispatcher of searcher requests."""

from typing import Any

import anyio

from jacinthcart.dispatch import PartCall, PartResult
from jacinthcart.errors import RefusalCode, RefusalError, WireError
from jacinthcart.feed import StateFeed
from jacinthcart.gather._backend import BaseDispatcher
from jacinthcart.settings import ProcessSettings
from jacinthcart.telemetry import DecisionLog, Logger, Metrics
from jacinthcart.wire import ConnectionPool, encode_json

_WARM_TIMEOUT_S = 1


class WarmSender:
    """Sends warm-table entries to this VM's control."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Prepare one connection to control."""
        self._pool = ConnectionPool(
            settings.address,
            settings.control_port,
            limit=1,
        )

    async def post_warm(self, entries: dict[str, dict[str, Any]]) -> bool:
        """Send entries by searcher id; return whether control took them."""
        try:
            response = await self._pool.call(
                'POST',
                '/v1/warm',
                encode_json({'entries': entries}),
                _WARM_TIMEOUT_S,
            )
        except (WireError, TimeoutError):
            return False
        return response.is_success

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.close()


class UnavailableDispatcher(BaseDispatcher):
    """Refuses every part: no dispatcher is connected."""

    async def run(self) -> None:
        """Wait until cancelled."""
        await anyio.sleep_forever()

    async def close(self) -> None:
        """Hold nothing."""

    async def run_part(self, call: PartCall) -> PartResult:
        """Refuse the part."""
        raise RefusalError(RefusalCode.NO_REPLICA, detail=call.part)

    def describe(self) -> dict[str, Any]:
        """Return no state."""
        return {}


def create_dispatcher(
    _feed: StateFeed,
    _metrics: Metrics,
    _decisions: DecisionLog,
    _logger: Logger,
) -> BaseDispatcher:
    """Return the dispatcher of this VM."""
    return UnavailableDispatcher()
