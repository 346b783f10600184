"""HTTP handlers for callers, readiness checks and address lookups."""

import random

from jacinthcart.directory import choose_addresses
from jacinthcart.errors import (
    InvalidMessageError,
    RefusalCode,
    RefusalError,
)
from jacinthcart.front import (
    RawRequest,
    RawResponse,
)
from jacinthcart.node import BaseNodeHandler, Node
from jacinthcart.platform._headers import (
    decode_request,
    encode_answer,
    encode_refusal,
)
from jacinthcart.wire import encode_json

_JSON = ((b'Content-Type', b'application/json'),)
_NOT_FOUND = RawResponse(404)
#: Retry delay in milliseconds if this VM has no memory to read a request.
#: Other VMs may have some.
_MEMORY_RETRY_MS = 100


class CallerHandler(BaseNodeHandler):
    """Serves callers' requests."""

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return the answer or the refusal."""
        try:
            decoded = decode_request(request)
        except InvalidMessageError as error:
            self._node.log_invalid_request(str(error))
            return RawResponse(400)
        try:
            answer = await self._node.serve(decoded)
        except RefusalError as refusal:
            return encode_refusal(refusal)
        return encode_answer(decoded, answer)

    def create_memory_refusal(self) -> RawResponse:
        """Return a refusal as not run, with a retry delay."""
        return encode_refusal(
            RefusalError(
                RefusalCode.OVERLOADED, retry_after_ms=_MEMORY_RETRY_MS
            )
        )


class ReadinessHandler(BaseNodeHandler):
    """Tells the platform whether this VM accepts callers."""

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return status 200 if ready, otherwise 503."""
        if request.path != '/jacinthcart/ready':
            return _NOT_FOUND
        return RawResponse(200 if self._node.is_ready else 503)


class DirectoryHandler(BaseNodeHandler):
    """Resolves host names to the addresses of VMs for callers."""

    def __init__(self, node: Node, source: random.Random) -> None:
        """Initialise with the node and the source of randomness."""
        super().__init__(node)
        self._random = source

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return addresses for the caller's data centre."""
        if request.path != '/jacinthcart/resolve':
            return _NOT_FOUND
        fields = request.query
        params = self._node.directory_params
        addresses = choose_addresses(
            self._node.members.list_alive(),
            fields.get('zone', ''),
            self._node.catalogue_state.get_coverage(
                fields.get('name', '').lower()
            ),
            self._random,
            params,
        )
        if not addresses:
            return RawResponse(503)
        port = self._node.settings.callers.port
        body = {
            'addrs': [f'{address}:{port}' for address in addresses],
            'ttl_s': params.ttl_s,
        }
        return RawResponse(200, _JSON, encode_json(body))
