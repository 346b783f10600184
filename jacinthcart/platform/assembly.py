"""Creates a node and its servers for the platform."""

import random

from jacinthcart.front import (
    BaseRequestHandler,
    HttpServer,
    create_processing,
)
from jacinthcart.network import Endpoint
from jacinthcart.node import MemoryBounds, Node, NodeSettings
from jacinthcart.platform._catalogue_updater import CatalogueUpdater
from jacinthcart.platform._document_versions import DocumentVersions
from jacinthcart.platform._handlers import (
    CallerHandler,
    DirectoryHandler,
    ReadinessHandler,
)
from jacinthcart.platform._headers import PlatformSearcherCodec
from jacinthcart.platform._keys import OPERATOR_PREFIX
from jacinthcart.platform._store import PlatformStore


def create_node(settings: NodeSettings) -> tuple[Node, list[HttpServer]]:
    """Return a node and the servers of its public addresses."""
    memory = MemoryBounds(settings.memory_bytes)
    node = Node(
        settings,
        PlatformStore(settings.store, memory.max_table_bytes),
        PlatformSearcherCodec(),
        proof_prefix=OPERATOR_PREFIX,
        versions=DocumentVersions(),
    )
    CatalogueUpdater(node.table, node.catalogue_state, node.logger)
    caller_handlers: list[tuple[Endpoint, BaseRequestHandler]] = [
        (settings.callers, CallerHandler(node)),
        (settings.directory, DirectoryHandler(node, random.Random())),
    ]
    processing = create_processing()
    servers = [
        HttpServer(
            endpoint,
            handler,
            node.clock,
            node.logger,
            node.caller_memory,
            processing,
        )
        for endpoint, handler in caller_handlers
    ]
    # Not limited by what callers hold and use: the platform must still get
    # answers.
    readiness = HttpServer(
        settings.readiness, ReadinessHandler(node), node.clock, node.logger
    )
    return node, [*servers, readiness]
