"""Runs one VM of the system on the users' platform."""

import random
import sys

import anyio

from jacinthcart.errors import SettingsError
from jacinthcart.front import FrontServer
from jacinthcart.node import Node, run_node
from jacinthcart.platform._handlers import (
    CallerHandler,
    DirectoryHandler,
    ReadinessHandler,
)
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.platform._items import OPERATOR_PREFIX, ItemDecoder
from jacinthcart.platform._settings import load_settings
from jacinthcart.platform._store import PlatformStore
from jacinthcart.telemetry import create_logger, start_logging

_EXIT_SETTINGS = 2


def main() -> None:
    """Run until a stop signal; exit with 2 for invalid settings."""
    start_logging()
    try:
        settings = load_settings()
    except SettingsError as error:
        create_logger('node').error('invalid settings', error=str(error))
        sys.exit(_EXIT_SETTINGS)
    node = Node(
        settings,
        PlatformStore(settings.store),
        PlatformSearcherCodec(),
        proof_prefix=OPERATOR_PREFIX,
    )
    ItemDecoder(node.table, node.book, node.logger)
    directory = DirectoryHandler(node, random.Random())
    servers = [
        (settings.callers, CallerHandler(node)),
        (settings.readiness, ReadinessHandler(node)),
        (settings.directory, directory),
    ]
    anyio.run(
        run_node,
        node,
        [
            FrontServer(endpoint, handler, node.clock, node.logger)
            for endpoint, handler in servers
        ],
    )


if __name__ == '__main__':
    main()
