"""Creates a node and its servers for the platform."""

import random

from jacinthcart.front import HttpServer
from jacinthcart.node import Node, NodeSettings
from jacinthcart.platform._catalogue_updater import (
    OPERATOR_PREFIX,
    CatalogueUpdater,
)
from jacinthcart.platform._handlers import (
    CallerHandler,
    DirectoryHandler,
    ReadinessHandler,
)
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.platform._store import PlatformStore


def create_node(settings: NodeSettings) -> tuple[Node, list[HttpServer]]:
    """Return a node and the servers of its public addresses."""
    node = Node(
        settings,
        PlatformStore(settings.store),
        PlatformSearcherCodec(),
        proof_prefix=OPERATOR_PREFIX,
    )
    CatalogueUpdater(node.table, node.catalogue_state, node.logger)
    handlers = [
        (settings.callers, CallerHandler(node)),
        (settings.readiness, ReadinessHandler(node)),
        (settings.directory, DirectoryHandler(node, random.Random())),
    ]
    servers = [
        HttpServer(endpoint, handler, node.clock, node.logger)
        for endpoint, handler in handlers
    ]
    return node, servers
