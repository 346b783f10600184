"""The HTTP API between VMs."""

from jacinthcart.front import (
    RawRequest,
    RawResponse,
)
from jacinthcart.node._handler import BaseNodeHandler
from jacinthcart.node._node import Node
from jacinthcart.readings import PULL_PATH, TableServer

_COMPRESSED = ((b'Content-Type', b'application/zlib'),)


class PeerHandler(BaseNodeHandler):
    """Serves pulls of store data."""

    def __init__(self, node: Node) -> None:
        """Serve the copy of the node."""
        super().__init__(node)
        self._table_server = TableServer(node.table, node.lease)

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return the changes that the peer lacks."""
        if request.path != PULL_PATH:
            return RawResponse(404)
        query = request.query
        try:
            after = int(query.get('after', '0'))
            era = int(query['era']) if 'era' in query else None
        except ValueError:
            return RawResponse(400)
        return RawResponse(
            200, _COMPRESSED, self._table_server.answer(after, era)
        )
