"""Creates the dispatcher of the gather program."""

import dataclasses
import random
from collections.abc import Mapping

from jacinthcart.dispatch import Dispatcher, create_http_client_factory
from jacinthcart.feed import StateFeed, WarmEntry
from jacinthcart.gather._backend import BaseDispatcher
from jacinthcart.settings import ProcessSettings
from jacinthcart.telemetry import DecisionLog, Logger, Metrics
from jacinthcart.wire import ConnectionPool, encode_json

_POST_TIMEOUT_S = 1


class WarmSender:
    """Sends warm table entries to this VM's control process."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Create a pool of one connection to the control process."""
        self._pool = ConnectionPool(
            settings.address,
            settings.control_port,
            limit=1,
        )

    async def post_warm_entries(self, entries: Mapping[str, WarmEntry]) -> None:
        """Send warm table entries, keyed by searcher id.

        Raise WireError or TimeoutError.
        """
        encoded = {
            searcher_id: dataclasses.asdict(entry)
            for searcher_id, entry in entries.items()
        }
        await self._pool.call(
            'POST',
            '/v1/warm',
            encode_json({'entries': encoded}),
            _POST_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.close()


def create_dispatcher(
    feed: StateFeed,
    metrics: Metrics,
    decisions: DecisionLog,
    logger: Logger,
) -> BaseDispatcher:
    """Return the dispatcher of this VM."""
    return Dispatcher(
        feed,
        metrics,
        decisions,
        logger,
        random_source=random.Random(),
        open_searcher_client=create_http_client_factory(feed),
        post_warm_entries=WarmSender(feed.process).post_warm_entries,
    )
