"""HTTP client of the platform's store."""

import base64
import re
from typing import TypeVar
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

_Body = TypeVar('_Body', bound=pydantic.BaseModel)


class _ItemBody(pydantic.BaseModel):
    """One item; `value` is base64, absent if the key was removed."""

    key: str
    revision: int
    value: str | None = None
    removed: bool = False


class _RangeBody(pydantic.BaseModel):
    items: list[_ItemBody]
    has_more: bool = False
    #: Revision of the store at the call.
    at: int


class _WatchBody(pydantic.BaseModel):
    events: list[_ItemBody]
    at: int


class PlatformStore(BaseStore):
    """Reads the store over persistent connections."""

    def __init__(self, endpoint: Endpoint) -> None:
        """Initialise; connections are opened on demand."""
        self._pool = ConnectionPool(
            endpoint.address,
            endpoint.port,
            _CONNECTIONS,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )

    async def read(self, prefix: str, timeout_s: float) -> ReadResult:
        """Return all items with `prefix`; see the base class."""
        pages: list[ReadResult] = []
        after: str | None = ''
        while after is not None:
            page, after = await self._read_page(prefix, after, timeout_s)
            is_return = bool(pages) and (
                page.era != pages[0].era or page.revision < pages[-1].revision
            )
            if is_return:
                raise StoreEraError('kv-range: pages of different eras')
            pages.append(page)
        return ReadResult(
            tuple(item for page in pages for item in page.items),
            pages[0].revision,
            pages[0].era,
        )

    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision; see the base class."""
        query = {
            'prefix': '',
            'after': str(after),
            'wait_ms': str(int(wait_s * _MS_PER_S)),
        }
        response = await self._get('kv-watch', query, wait_s + _WATCH_SLACK_S)
        changes = _decode(_WatchBody, response)
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
        body = _decode(_RangeBody, response)
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


def _decode(
    model: type[_Body],
    response: HttpResponse,
) -> _Body:
    try:
        return model.model_validate(decode_json(response.body))
    except (pydantic.ValidationError, InvalidMessageError) as error:
        raise StoreError(f'malformed answer of the store: {error}') from error


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
