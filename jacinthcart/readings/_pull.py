"""Replicates the copy of the store between VMs."""

import base64
import math
import zlib
from typing import Annotated, Any, cast

import anyio
import pydantic

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.network import Endpoint
from jacinthcart.readings._item import Item
from jacinthcart.readings._lease import FreshnessLease
from jacinthcart.readings._merge_log import MergeLog
from jacinthcart.readings._position import START, Position
from jacinthcart.readings._table import Changes, ItemTable
from jacinthcart.telemetry import Logger, Metrics
from jacinthcart.wire import HttpConnection, decode_json, encode_json

PULL_PATH = '/v1/readings'
#: After this timeout, the next pull starts with the next ping or
#: acknowledgement of a peer.
_PULL_TIMEOUT_S = 0.8
_CONNECT_TIMEOUT_S = 0.3
#: Minimum time in seconds between two repairs.
_REPAIR_INTERVAL_S = 1.0
#: Maximum size of a peer's answer in bytes unless a puller states another
#: one, compressed and decompressed.
_MAX_TABLE_BYTES = 32 * 1024 * 1024
#: Bytes that the objects of an answer may take for each byte of that maximum.
#: The contents of a table are text, which takes no more than its bytes.
_DECODED_FACTOR = 2
#: Bytes that are decompressed before other tasks run.
_DECOMPRESS_BYTES = 262_144


class _ItemMessage(pydantic.BaseModel):
    """Wire form of one item."""

    key: str
    revision: int = pydantic.Field(ge=0)
    content: str | None
    #: Era of the revision. VMs of a release without eras send none.
    era: int = pydantic.Field(default=0, ge=0)
    #: Era in which the content was written; None for that of the revision.
    written_in: int | None = None

    def decode(self) -> Item:
        """Return the item; raise InvalidMessageError."""
        written_in = self.era if self.written_in is None else self.written_in
        return Item(
            self.key,
            Position(self.era, self.revision),
            _decode(self.content),
            written_in,
        )


class _ChangesMessage(pydantic.BaseModel):
    """Wire form of the items a peer lacks and the age of the proof."""

    complete_to: int = pydantic.Field(ge=0)
    #: Era of `complete_to`.
    era: int = pydantic.Field(default=0, ge=0)
    age_s: float | None
    #: Digest of the contents that the proof covers. VMs of a release without
    #: digests send none, and their proofs count for nothing.
    digest: str | None = None
    #: Whether the items are all that the sender knows.
    is_full: bool = False
    #: The first malformed item is enough to refuse the message.
    items: Annotated[list[_ItemMessage], pydantic.FailFast()]


class TableServer:
    """Answers pull requests of other VMs from the table."""

    def __init__(self, table: ItemTable, lease: FreshnessLease) -> None:
        """Initialise with the table and the lease to serve."""
        self._table = table
        self._lease = lease

    def answer(self, after: int, era: int | None = None) -> bytes:
        """Return the changes for a peer that has those up to `after`.

        `era` is that of `after`. A VM of a release without eras gives None,
        which stands for the current one.

        The message is compressed, because entries of searchers are similar
        to each other and traffic between data centres is charged.
        """
        after_era = self._table.newest.era if era is None else era
        changes = self._table.list_changes(Position(after_era, after))
        age_s = self._lease.age_s
        message = {
            'complete_to': changes.complete_to.revision,
            'era': changes.complete_to.era,
            'age_s': age_s if math.isfinite(age_s) else None,
            'digest': self._table.digest,
            'is_full': changes.is_full,
            'items': [_encode_item(item) for item in changes.items],
        }
        return zlib.compress(encode_json(message))


class _Disagreement:
    """How long the contents of this VM have differed from those of peers."""

    def __init__(self) -> None:
        """Start without a disagreement."""
        self._own_digest: str | None = None
        self._since = math.inf

    def record(self, own: str, other: str | None, now: float) -> float:
        """Record the digest of a peer; return since when all have differed.

        Return infinity if the last one was the same. A change of this VM's own
        contents begins a new period.
        """
        if other == own:
            self._since = math.inf
        elif own != self._own_digest or math.isinf(self._since):
            self._since = now
        self._own_digest = own
        return self._since


class TablePuller:
    """Fetches items that this VM lacks from peers, one pull at a time."""

    def __init__(
        self,
        table: ItemTable,
        lease: FreshnessLease,
        logger: Logger,
        metrics: Metrics,
        max_table_bytes: int = _MAX_TABLE_BYTES,
    ) -> None:
        """Initialise with the table and the lease to update.

        An answer above `max_table_bytes` is refused.
        """
        self.table = table
        self._max_table_bytes = max_table_bytes
        self.lease = lease
        self._merge_log = MergeLog(table, logger, metrics)
        self._logger = logger
        self._metrics = metrics
        self._is_busy = False
        self._has_pulled = False
        self._repaired_at = -math.inf
        self._disagreement = _Disagreement()

    def is_covered(self, newest: Position, digest: str | None) -> bool:
        """Return whether a peer's proof also holds for this VM's copy.

        `newest` is the highest position that the peer knows and `digest` that
        of the contents that the proof covers. Positions alone would not be
        enough: they tell what a copy should have, not what it has. Nor would
        digests: contents may change and change back between two positions.
        """
        return newest <= self.table.newest and digest == self.table.digest

    def must_repair(self, newest: Position, digest: str | None) -> bool:
        """Return whether to fetch all items of a peer.

        This is so if the copies differ although neither is ahead, if this copy
        differs from those of all peers for some time, and for the first pull:
        a VM that has read the store itself may lack what its peers keep
        although the store came back without it.
        """
        now = self.lease.clock()
        disagrees_since = self._disagreement.record(
            self.table.digest, digest, now
        )
        if newest == START or digest is None:
            return False
        if not self._has_pulled:
            return self.table.complete_to != START
        is_level = newest == self.table.newest
        is_lasting = now - disagrees_since >= _REPAIR_INTERVAL_S
        is_due = now - self._repaired_at >= _REPAIR_INTERVAL_S
        is_different = digest != self.table.digest
        return is_due and is_different and (is_level or is_lasting)

    def is_behind(self, newest: Position, complete_to: Position) -> bool:
        """Return whether a peer has items that this VM may lack.

        `newest` is the highest position that the peer knows. It is not enough
        to compare it: a read of some keys gets their newest changes, while
        earlier changes of other keys arrive later. `complete_to` is the
        position up to which the peer has every change.
        """
        table = self.table
        return complete_to > table.complete_to or newest > table.newest

    async def pull(
        self, peer_id: str, endpoint: Endpoint, is_repair: bool = False
    ) -> None:
        """Fetch and merge a peer's changes; count and log failures.

        A repair fetches all items, not only those after the position up to
        which this copy is complete. Do nothing while another pull is in
        progress.
        """
        if self._is_busy:
            return
        self._is_busy = True
        try:
            with anyio.fail_after(_PULL_TIMEOUT_S):
                await self._pull(endpoint, is_repair)
        except (WireError, InvalidMessageError, TimeoutError) as error:
            self._metrics.count('pull', 'failed')
            self._logger.warning(
                'pull of store data from a peer failed',
                limit_key=f'pull {peer_id}',
                peer=peer_id,
                error=repr(error),
            )
        finally:
            self._is_busy = False

    async def _pull(self, endpoint: Endpoint, is_repair: bool) -> None:
        asked_at = self.lease.clock()
        after = START if is_repair else self.table.complete_to
        self._merge(asked_at, await self._fetch(endpoint, after))
        self._has_pulled = True
        if is_repair:
            self._repaired_at = asked_at

    async def _fetch(self, endpoint: Endpoint, after: Position) -> Any:
        """Return the decoded answer of a peer."""
        connection = await HttpConnection.open(
            endpoint.address,
            endpoint.port,
            _CONNECT_TIMEOUT_S,
        )
        try:
            response = await connection.request(
                'GET',
                f'{PULL_PATH}?after={after.revision}&era={after.era}',
                max_body_bytes=self._max_table_bytes,
            )
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
        text = await _decompress(response.body, self._max_table_bytes)
        return decode_json(text, _DECODED_FACTOR * self._max_table_bytes)

    def _merge(self, asked_at: float, message: Any) -> None:
        try:
            changes = _ChangesMessage.model_validate(message)
        except pydantic.ValidationError as error:
            raise InvalidMessageError(str(error)) from error
        self._metrics.count('pull', 'answered')
        items = [item.decode() for item in changes.items]
        self._merge_log.record_pull(items)
        age_s = math.inf if changes.age_s is None else changes.age_s
        self.table.merge_changes(
            Changes(
                tuple(items),
                Position(changes.era, changes.complete_to),
                changes.is_full,
            ),
            is_proof_newer=asked_at - age_s > self.lease.proof_at,
        )
        # After the merge, this copy has every change that the peer knew.
        is_covered = changes.digest == self.table.digest
        if changes.age_s is not None and is_covered:
            self.lease.record_peer_proof(asked_at, changes.age_s)


async def _decompress(body: bytes, max_bytes: int) -> bytearray:
    """Return the text; raise InvalidMessageError if it is not complete."""
    codec = zlib.decompressobj()
    text = bytearray()
    for start in range(0, len(body), _DECOMPRESS_BYTES):
        rest = body[start : start + _DECOMPRESS_BYTES]
        while rest and not codec.eof:
            text += _decompress_part(codec, rest)
            if len(text) > max_bytes:
                raise InvalidMessageError('table is too large')
            rest = codec.unconsumed_tail
            await anyio.sleep(0)
    if not codec.eof:
        raise InvalidMessageError('zlib data of the answer ends early')
    return text


def _decompress_part(codec: Any, body: bytes) -> bytes:
    try:
        return cast(bytes, codec.decompress(body, _DECOMPRESS_BYTES))
    except zlib.error as error:
        raise InvalidMessageError('pull answer is not zlib data') from error


def _encode_item(item: Item) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        'key': item.key,
        'revision': item.position.revision,
        'content': _encode(item.content),
        'era': item.position.era,
    }
    if item.written_in != item.position.era:
        encoded['written_in'] = item.written_in
    return encoded


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
        raise InvalidMessageError('item content is not base64') from error
