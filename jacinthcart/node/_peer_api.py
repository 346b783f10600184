"""The HTTP API between VMs."""

from jacinthcart.front import (
    RawRequest,
    RawResponse,
)
from jacinthcart.node._handler import BaseNodeHandler
from jacinthcart.readings import PULL_PATH

_COMPRESSED = ((b'Content-Type', b'application/zlib'),)


class PeerHandler(BaseNodeHandler):
    """Serves pulls of store data."""

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
            200, _COMPRESSED, self._node.table_server.answer(after, era)
        )
