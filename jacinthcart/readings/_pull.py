"""Copies readings between VMs."""

import base64
import math
import zlib
from typing import Any

import anyio
import pydantic

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.network import Endpoint
from jacinthcart.readings._lease import FreshnessLease
from jacinthcart.readings._source import Item
from jacinthcart.readings._table import ItemTable
from jacinthcart.telemetry import Logger, Metrics
from jacinthcart.wire import HttpConnection, decode_json, encode_json

PULL_PATH = '/v1/readings'
#: A peer that answers later than this is asked again at the next beat.
_PULL_TIMEOUT_S = 0.8
_CONNECT_TIMEOUT_S = 0.3
#: Longest table that is taken, in bytes: 500 of the largest values.
_MAX_TABLE_BYTES = 1 << 29


class _ItemMessage(pydantic.BaseModel):
    """One item on the wire."""

    key: str
    revision: int
    content: str | None


class _ChangesMessage(pydantic.BaseModel):
    """What a peer lacks, and the age of the proof."""

    complete_to: int
    age_s: float | None
    items: list[_ItemMessage]


class TableServer:
    """Answers pulls of other VMs from the table."""

    def __init__(self, table: ItemTable, lease: FreshnessLease) -> None:
        """Keep what is served."""
        self._table = table
        self._lease = lease

    def answer(self, after: int) -> bytes:
        """Return the message for a peer that is complete to a revision.

        It is compressed: entries of searchers resemble each other, and
        traffic between data centres is priced.
        """
        changes = self._table.list_changes(after)
        age_s = self._lease.age_s
        message = {
            'complete_to': changes.complete_to,
            'age_s': age_s if math.isfinite(age_s) else None,
            'items': [
                {
                    'key': item.key,
                    'revision': item.revision,
                    'content': _encode(item.content),
                }
                for item in changes.items
            ],
        }
        return zlib.compress(encode_json(message))


class TablePuller:
    """Fetches what a peer knows and this VM lacks, one call at a time."""

    def __init__(
        self,
        table: ItemTable,
        lease: FreshnessLease,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Keep the copy that is brought up to date."""
        self.table = table
        self.lease = lease
        self._logger = logger
        self._metrics = metrics
        self._is_busy = False

    def is_behind(self, revision: int) -> bool:
        """Return whether a peer with this revision knows more."""
        return revision > self.table.revision

    async def pull(self, peer_id: str, endpoint: Endpoint) -> None:
        """Merge what the peer knows; failures are counted and logged."""
        if self._is_busy:
            return
        self._is_busy = True
        try:
            with anyio.fail_after(_PULL_TIMEOUT_S):
                await self._pull(endpoint)
        except (WireError, InvalidMessageError, TimeoutError) as error:
            self._metrics.count('pull', 'failed')
            self._logger.warning(
                'pulling readings from a peer failed',
                limit_key=f'pull {peer_id}',
                peer=peer_id,
                error=repr(error),
            )
        finally:
            self._is_busy = False

    async def _pull(self, endpoint: Endpoint) -> None:
        connection = await HttpConnection.open(
            endpoint.address,
            endpoint.port,
            _CONNECT_TIMEOUT_S,
        )
        try:
            asked_at = self.lease.clock()
            response = await connection.request(
                'GET',
                f'{PULL_PATH}?after={self.table.complete_to}',
            )
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
        self._merge(asked_at, _decompress(response.body))

    def _merge(self, asked_at: float, message: Any) -> None:
        try:
            changes = _ChangesMessage.model_validate(message)
        except pydantic.ValidationError as error:
            raise InvalidMessageError(str(error)) from error
        self._metrics.count('pull', 'answered')
        self.table.merge(
            Item(item.key, item.revision, _decode(item.content))
            for item in changes.items
        )
        self.table.mark_complete_to(changes.complete_to)
        if changes.age_s is not None:
            self.lease.record_peer_proof(asked_at, changes.age_s)


def _decompress(body: bytes) -> Any:
    codec = zlib.decompressobj()
    try:
        text = codec.decompress(body, _MAX_TABLE_BYTES)
    except zlib.error as error:
        raise InvalidMessageError('answer is not compressed') from error
    return decode_json(text)


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
