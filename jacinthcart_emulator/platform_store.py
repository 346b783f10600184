"""Emulated store of the users' platform with fault injection.

The store can be away for a time and come back from an older copy of its state.
It then has lost what it acknowledged since the copy was taken.
"""

import base64
import collections
import dataclasses
import enum
import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front import (
    BaseRequestHandler,
    HttpServer,
    RawRequest,
    RawResponse,
)
from jacinthcart.network import Endpoint
from jacinthcart.program import read_boot_clock
from jacinthcart.telemetry import create_logger
from jacinthcart.wire import encode_json

_MS_PER_S = 1000
_PAGE_ITEMS = 50
_JSON_HEADERS = ((b'Content-Type', b'application/json'),)
_ERA_HEADER = b'Store-Era'
_FIRST_ERA = 1
#: Seconds for which earlier states are kept as copies.
_MAX_COPY_AGE_S = 10.0
_LIMITS = FrontLimits(65536, 1 << 20, 10, 600)


class StoreFault(enum.StrEnum):
    """Failure mode of the store."""

    #: No fault.
    NONE = 'none'
    #: Respond with status 503.
    BUSY = 'busy'
    #: Respond with status 429.
    MANY = 'many'
    #: Respond after 30 s.
    SILENT = 'silent'
    #: Respond after 0.25 s.
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True)
class _StoredItem:
    """The value of a key with its revisions."""

    content: bytes
    #: Revision of the last change.
    revision: int
    #: Revision at which the key was created.
    created: int


class StoreAwayError(Exception):
    """The store is away and accepts no write."""


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """State of the store at one moment."""

    #: Time in seconds on the clock of the store.
    taken_at: float
    #: Revision of the last change in the copy.
    revision: int
    #: Items by key.
    stored_by_key: Mapping[str, _StoredItem]
    #: Changes in the history, with their revisions.
    events: tuple[tuple[int, dict[str, Any]], ...]
    #: Revision up to which the history is discarded.
    discarded_revision: int


class StoreCopies:
    """Copies of the states of the last 10 seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create without a copy; `clock` returns seconds."""
        self._clock = clock
        self._copies: collections.deque[StoreCopy] = collections.deque()

    def keep(self, copy: StoreCopy) -> None:
        """Add a copy and drop those that are too old."""
        self._copies.append(copy)
        oldest_at = self._clock() - _MAX_COPY_AGE_S
        while len(self._copies) > 1 and self._copies[1].taken_at <= oldest_at:
            self._copies.popleft()

    def find(self, age_s: float) -> StoreCopy:
        """Return the copy of the state `age_s` seconds ago, at most 10."""
        taken_at = self._clock() - min(age_s, _MAX_COPY_AGE_S)
        older = [one for one in self._copies if one.taken_at <= taken_at]
        return older[-1] if older else self._copies[0]

    def drop_later(self, taken_at: float) -> None:
        """Drop the copies that were taken after a time."""
        while self._copies and self._copies[-1].taken_at > taken_at:
            self._copies.pop()


class StoreEmulator(BaseRequestHandler):
    """Stores items and serves reads and watches."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty store; `clock` returns seconds."""
        self.fault = StoreFault.NONE
        self.calls = 0
        self.revision = 1
        #: How often the store has come back from a copy, from 1.
        self.era = _FIRST_ERA
        #: Whether answers have the header with the era.
        self.has_era_header = True
        #: Whether the store is away: writes fail.
        self.is_away = False
        self._clock = clock
        self._stored_by_key: dict[str, _StoredItem] = {}
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._discarded_revision = 0
        self._changed = anyio.Event()
        #: Copies of the states of the last seconds.
        self.copies = StoreCopies(clock)
        self.copies.keep(self.take_copy())

    def get_limits(self) -> FrontLimits:
        """Return limits that no caller reaches."""
        return _LIMITS

    def put(self, key: str, value: Any) -> int:
        """Store a JSON value and return its revision."""
        return self.put_bytes(key, encode_json(value))

    def put_bytes(self, key: str, content: bytes) -> int:
        """Store arbitrary bytes and return their revision.

        Raise `StoreAwayError` if the store is away.
        """
        self._check_presence()
        self.revision += 1
        previous = self._stored_by_key.get(key)
        created = previous.created if previous else self.revision
        stored = _StoredItem(content, self.revision, created)
        self._stored_by_key[key] = stored
        self._append_event(_encode_item(key, stored))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists.

        Raise `StoreAwayError` if the store is away.
        """
        self._check_presence()
        if self._stored_by_key.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {'key': key, 'revision': self.revision, 'removed': True},
            )

    def discard_history(self) -> None:
        """Discard the history; watches of older revisions get status 410."""
        self._events.clear()
        self._discarded_revision = self.revision
        self._notify()

    def take_copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(
            self._clock(),
            self.revision,
            dict(self._stored_by_key),
            tuple(self._events),
            self._discarded_revision,
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Replace the state by a copy, which starts the next era.

        Revisions after that of the copy are given out again, and watches that
        wait get status 410.
        """
        self.era += 1
        self.revision = copy.revision
        self._stored_by_key = dict(copy.stored_by_key)
        self._events = list(copy.events)
        self._discarded_revision = copy.discarded_revision
        self.copies.drop_later(copy.taken_at)
        self.copies.keep(self.take_copy())
        self._notify()

    async def handle(self, request: RawRequest) -> RawResponse:
        """Handle a call, subject to the active fault."""
        self.calls += 1
        response = await self._respond(request)
        if not self.has_era_header:
            return response
        era_header = (_ERA_HEADER, b'%d' % self.era)
        return dataclasses.replace(
            response, headers=(*response.headers, era_header)
        )

    async def _respond(self, request: RawRequest) -> RawResponse:
        if self.fault is StoreFault.BUSY:
            return RawResponse(503)
        if self.fault is StoreFault.MANY:
            return RawResponse(429)
        if self.fault is StoreFault.SILENT:
            await anyio.sleep(30)
        if self.fault is StoreFault.SLOW:
            await anyio.sleep(0.25)
        query = request.query
        if request.path == '/jacinthcart/kv-range':
            return self._read_range(query)
        if request.path == '/jacinthcart/kv-watch':
            return await self._watch(query)
        return RawResponse(404)

    def _read_range(self, query: dict[str, str]) -> RawResponse:
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self._stored_by_key
            if key.startswith(prefix) and key > after
        )
        page = keys[:_PAGE_ITEMS]
        return _create_json_response(
            {
                'items': [
                    _encode_item(key, self._stored_by_key[key]) for key in page
                ],
                'has_more': len(keys) > len(page),
                'at': self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> RawResponse:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        deadline = anyio.current_time() + int(query['wait_ms']) / _MS_PER_S
        era = self.era
        while True:
            is_known = self._discarded_revision <= after <= self.revision
            if era != self.era or not is_known:
                return RawResponse(410)
            events = [
                event
                for revision, event in self._events
                if revision > after and event['key'].startswith(prefix)
            ]
            remaining_s = deadline - anyio.current_time()
            if events or remaining_s <= 0:
                return _create_json_response(
                    {'events': events, 'at': self.revision}
                )
            with anyio.move_on_after(remaining_s):
                await self._changed.wait()

    def _check_presence(self) -> None:
        if self.is_away:
            raise StoreAwayError('the store is away')

    def _append_event(self, event: dict[str, Any]) -> None:
        self._events.append((self.revision, event))
        self.copies.keep(self.take_copy())
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class StoreServer:
    """Serves a store at an address and can be away for a time."""

    def __init__(self, store: StoreEmulator, endpoint: Endpoint) -> None:
        """Create the server; `start` makes it listen."""
        self._store = store
        self._endpoint = endpoint
        self._scope = anyio.CancelScope()
        self._closed = anyio.Event()
        self._tasks: TaskGroup | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Start serving; the server stops when `tasks` is cancelled."""
        self._tasks = tasks
        await self.come_back()

    async def go_away(self) -> None:
        """Abort every connection and refuse new ones; writes fail."""
        self._store.is_away = True
        self._scope.cancel()
        await self._closed.wait()

    async def come_back(self) -> None:
        """Listen again and accept writes."""
        assert self._tasks is not None
        await self._tasks.start(self._serve)
        self._store.is_away = False

    async def _serve(self, *, task_status: TaskStatus[None]) -> None:
        self._scope = anyio.CancelScope()
        self._closed = anyio.Event()
        logger = create_logger('emulator')
        server = HttpServer(
            self._endpoint, self._store, read_boot_clock, logger
        )
        with self._scope:
            async with anyio.create_task_group() as connections:
                await server.start(connections)
                task_status.started()
                await anyio.sleep_forever()
        self._closed.set()


def _encode_item(key: str, stored: _StoredItem) -> dict[str, Any]:
    return {
        'key': key,
        'value': base64.b64encode(stored.content).decode(),
        'revision': stored.revision,
        'created': stored.created,
        'lease': 0,
    }


def _create_json_response(message: dict[str, Any]) -> RawResponse:
    return RawResponse(200, _JSON_HEADERS, encode_json(message))
