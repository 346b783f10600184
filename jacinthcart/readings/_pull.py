"""Copies readings between VMs over kept connections."""

import base64
from typing import Any

import anyio
import pydantic

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.readings._lease import ReadingLease
from jacinthcart.readings._source import Item
from jacinthcart.readings._table import ItemTable
from jacinthcart.network import Endpoint
from jacinthcart.telemetry import Logger, Metrics
from jacinthcart.wire import HttpConnection, decode_json

PULL_PATH = '/v1/readings'
#: A peer that answers later than this is asked again at the next beat.
_PULL_TIMEOUT_S = 0.8
_CONNECT_TIMEOUT_S = 0.3


class _ItemMessage(pydantic.BaseModel):
    """One item on the wire."""

    key: str
    revision: int
    content: str | None


class _ChangesMessage(pydantic.BaseModel):
    """What a peer lacks, and the age of the proof."""

    incarnation: int
    serial: int
    age_s: float | None
    items: list[_ItemMessage]


class ReadingServer:
    """Answers pulls of other VMs from the table."""

    def __init__(
        self,
        table: ItemTable,
        lease: ReadingLease,
        incarnation: int,
    ) -> None:
        """Keep what is served; `incarnation` names this process."""
        self._table = table
        self._lease = lease
        self._incarnation = incarnation

    def answer(self, incarnation: int, after: int) -> dict[str, Any]:
        """Return the message for a peer that knows a serial number."""
        if incarnation != self._incarnation:
            after = 0
        changes = self._table.list_changes(after)
        age_s = self._lease.age_s
        return {
            'incarnation': self._incarnation,
            'serial': changes.serial,
            'age_s': age_s if age_s < float('inf') else None,
            'items': [
                {
                    'key': item.key,
                    'revision': item.revision,
                    'content': _encode(item.content),
                }
                for item in changes.items
            ],
        }


class ReadingPuller:
    """Fetches what peers know and this VM lacks, one call a peer."""

    def __init__(
        self,
        table: ItemTable,
        lease: ReadingLease,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Start without connections."""
        self.table = table
        self.lease = lease
        self._logger = logger
        self._metrics = metrics
        self._known_by_peer: dict[str, tuple[int, int]] = {}
        self._busy_peers: set[str] = set()

    def is_behind(self, peer_id: str, incarnation: int, serial: int) -> bool:
        """Return whether a peer's table has changes not pulled yet."""
        return self._known_by_peer.get(peer_id) != (incarnation, serial)

    async def pull(self, peer_id: str, endpoint: Endpoint) -> None:
        """Merge what the peer knows; failures are counted and logged."""
        if peer_id in self._busy_peers:
            return
        self._busy_peers.add(peer_id)
        try:
            with anyio.fail_after(_PULL_TIMEOUT_S):
                await self._pull(peer_id, endpoint)
        except (WireError, InvalidMessageError, TimeoutError) as error:
            self._metrics.count('pull', 'failed')
            self._logger.warning(
                'pulling readings from a peer failed',
                limit_key=f'pull {peer_id}',
                peer=peer_id,
                error=repr(error),
            )
        finally:
            self._busy_peers.discard(peer_id)

    async def _pull(self, peer_id: str, endpoint: Endpoint) -> None:
        incarnation, after = self._known_by_peer.get(peer_id, (0, 0))
        connection = await HttpConnection.open(
            endpoint.address,
            endpoint.port,
            _CONNECT_TIMEOUT_S,
        )
        try:
            asked_at = self.lease.clock()
            response = await connection.request(
                'GET',
                f'{PULL_PATH}?incarnation={incarnation}&after={after}',
            )
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
        self._merge(peer_id, asked_at, decode_json(response.body))

    def _merge(self, peer_id: str, asked_at: float, message: Any) -> None:
        try:
            changes = _ChangesMessage.model_validate(message)
        except pydantic.ValidationError as error:
            raise InvalidMessageError(str(error)) from error
        self._metrics.count('pull', 'answered')
        self.table.merge(
            Item(item.key, item.revision, _decode(item.content))
            for item in changes.items
        )
        self._known_by_peer[peer_id] = (changes.incarnation, changes.serial)
        if changes.age_s is not None:
            self.lease.note_peer_reading(asked_at, changes.age_s)


def _encode(content: bytes | None) -> str | None:
    if content is None:
        return None
    return base64.b64encode(content).decode()


def _decode(content: str | None) -> bytes | None:
    if content is None:
        return None
    try:
        return base64.b64decode(content, validate=True)
    except ValueError as error:
        raise InvalidMessageError('content is not base64') from error
