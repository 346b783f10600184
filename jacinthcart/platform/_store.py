"""HTTP client of the platform's store."""

import base64
import re
from typing import Annotated, TypeVar
from urllib.parse import urlencode

import pydantic

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.network import Endpoint
from jacinthcart.readings import (
    BaseStore,
    ReadResult,
    StoredItem,
    StoreEraError,
    StoreError,
    StoreHistoryLostError,
    WatchResult,
)
from jacinthcart.wire import ConnectionPool, HttpResponse, decode_json

_STATUS_HISTORY_LOST = 410
#: States how often the store has come back from an older copy.
_ERA_HEADER = b'store-era'
_ERA_DIGITS = re.compile(b'[0-9]{1,16}')
#: Maximum of an era, the highest whole number that all JSON readers keep.
_MAX_ERA = 1 << 53
_MS_PER_S = 1000
_CONNECT_TIMEOUT_S = 0.5
#: Seconds added to the wait of a watch to give its timeout.
_WATCH_SLACK_S = 0.7
#: Connections to the store: one for a watch, one for reads.
_CONNECTIONS = 2
#: Maximum size in bytes of the items of one read or watch unless a store is
#: created with another one.
_MAX_TABLE_BYTES = 32 * 1024 * 1024
#: Bytes that the objects of one answer may take for each byte of that maximum.
_DECODED_FACTOR = 2
#: Bytes of the objects that hold one item, in addition to its key and content.
_ITEM_OVERHEAD_BYTES = 512

_Body = TypeVar('_Body', bound=pydantic.BaseModel)


class _ItemBody(pydantic.BaseModel):
    """One item; `value` is base64, absent if the key was removed."""

    key: str
    revision: int
    value: str | None = None
    removed: bool = False


#: The first malformed item is enough to refuse an answer.
_ItemBodies = Annotated[list[_ItemBody], pydantic.FailFast()]


class _RangeBody(pydantic.BaseModel):
    items: _ItemBodies
    has_more: bool = False
    #: Revision of the store at the call.
    at: int


class _WatchBody(pydantic.BaseModel):
    events: _ItemBodies
    at: int


class _Pages:
    """The pages of one read."""

    def __init__(self, max_bytes: int) -> None:
        """Start without a page; all may hold `max_bytes` together."""
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._pages: list[ReadResult] = []
        #: Keys after which a page was read.
        self._ends: set[str] = set()

    def add(self, page: ReadResult, after: str | None) -> None:
        """Add a page; raise StoreError if the read must not go on.

        `after` is the key after which the next page starts, if there is one.
        """
        if self._pages and (
            page.era != self._pages[0].era
            or page.revision < self._pages[-1].revision
        ):
            raise StoreEraError('kv-range: pages of different eras')
        self._pages.append(page)
        self._held_bytes += sum(map(_compute_size, page.items))
        if self._held_bytes > self._max_bytes:
            raise StoreError('kv-range: table is too large')
        if after in self._ends:
            raise StoreError('kv-range: pages do not advance')
        if after is not None:
            self._ends.add(after)

    def join(self) -> ReadResult:
        """Return the items of all pages, as of the first one."""
        first = self._pages[0]
        return ReadResult(
            tuple(item for page in self._pages for item in page.items),
            first.revision,
            first.era,
        )


class PlatformStore(BaseStore):
    """Reads the store over persistent connections."""

    def __init__(
        self, endpoint: Endpoint, max_table_bytes: int = _MAX_TABLE_BYTES
    ) -> None:
        """Initialise; connections are opened on demand.

        A read whose items take more than `max_table_bytes` fails.
        """
        self._max_table_bytes = max_table_bytes
        self._pool = ConnectionPool(
            endpoint.address,
            endpoint.port,
            _CONNECTIONS,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )

    async def read(self, prefix: str, timeout_s: float) -> ReadResult:
        """Return all items with `prefix`; see the base class."""
        pages = _Pages(self._max_table_bytes)
        after: str | None = ''
        while after is not None:
            page, after = await self._read_page(prefix, after, timeout_s)
            pages.add(page, after)
        return pages.join()

    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision; see the base class."""
        query = {
            'prefix': '',
            'after': str(after),
            'wait_ms': str(int(wait_s * _MS_PER_S)),
        }
        response = await self._get('kv-watch', query, wait_s + _WATCH_SLACK_S)
        changes = self._decode(_WatchBody, response)
        return WatchResult(
            tuple(_decode_item(event) for event in changes.events),
            changes.at,
            _decode_era(response),
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self._pool.close()

    async def _read_page(
        self, prefix: str, after: str, timeout_s: float
    ) -> tuple[ReadResult, str | None]:
        """Return a page and the key after which the next one starts."""
        query = {'prefix': prefix, **({'after': after} if after else {})}
        response = await self._get('kv-range', query, timeout_s)
        body = self._decode(_RangeBody, response)
        page = ReadResult(
            tuple(_decode_item(item) for item in body.items),
            body.at,
            _decode_era(response),
        )
        has_more = body.has_more and body.items
        return page, body.items[-1].key if has_more else None

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> HttpResponse:
        target = f'/jacinthcart/{call}?{urlencode(query)}'
        try:
            response = await self._pool.call('GET', target, timeout_s=timeout_s)
        except (WireError, TimeoutError) as error:
            raise StoreError(f'{call}: {error!r}') from error
        if response.status == _STATUS_HISTORY_LOST:
            raise StoreHistoryLostError(f'{call}: history no longer available')
        if not response.is_success:
            raise StoreError(f'{call}: status {response.status}')
        return response

    def _decode(self, model: type[_Body], response: HttpResponse) -> _Body:
        max_bytes = _DECODED_FACTOR * self._max_table_bytes
        try:
            return model.model_validate(decode_json(response.body, max_bytes))
        except (pydantic.ValidationError, InvalidMessageError) as error:
            raise StoreError(
                f'malformed answer of the store: {error}'
            ) from error


def _compute_size(item: StoredItem) -> int:
    content = item.content or b''
    return _ITEM_OVERHEAD_BYTES + len(item.key) + len(content)


def _decode_era(response: HttpResponse) -> int | None:
    """Return the stated era; None if it is absent or not a sane number."""
    text = response.headers.get(_ERA_HEADER, b'')
    if not _ERA_DIGITS.fullmatch(text):
        return None
    era = int(text)
    return era if era <= _MAX_ERA else None


def _decode_item(body: _ItemBody) -> StoredItem:
    if body.removed or body.value is None:
        return StoredItem(body.key, body.revision, None)
    try:
        content = base64.b64decode(body.value, validate=True)
    except ValueError as error:
        raise StoreError(f'{body.key}: value is not base64') from error
    return StoredItem(body.key, body.revision, content)
