"""Emulated store of the users' platform with fault injection."""

import base64
import dataclasses
import enum
from typing import Any

import anyio
from anyio.abc import TaskGroup

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


class StoreEmulator(BaseRequestHandler):
    """Stores items and serves reads and watches."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.fault = StoreFault.NONE
        self.calls = 0
        self.revision = 1
        self._stored_by_key: dict[str, _StoredItem] = {}
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._discarded_revision = 0
        self._changed = anyio.Event()

    def get_limits(self) -> FrontLimits:
        """Return limits that no caller reaches."""
        return _LIMITS

    def put(self, key: str, value: Any) -> int:
        """Store a JSON value and return its revision."""
        return self.put_bytes(key, encode_json(value))

    def put_bytes(self, key: str, content: bytes) -> int:
        """Store arbitrary bytes and return their revision."""
        self.revision += 1
        previous = self._stored_by_key.get(key)
        created = previous.created if previous else self.revision
        stored = _StoredItem(content, self.revision, created)
        self._stored_by_key[key] = stored
        self._append_event(_encode_item(key, stored))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
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

    async def handle(self, request: RawRequest) -> RawResponse:
        """Handle a call, subject to the active fault."""
        self.calls += 1
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
        while True:
            if after < self._discarded_revision:
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

    def _append_event(self, event: dict[str, Any]) -> None:
        self._events.append((self.revision, event))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


async def start_store(
    store: StoreEmulator,
    endpoint: Endpoint,
    tasks: TaskGroup,
) -> HttpServer:
    """Start serving the store; the server stops when `tasks` is cancelled."""
    logger = create_logger('emulator')
    server = HttpServer(endpoint, store, read_boot_clock, logger)
    await server.start(tasks)
    return server


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
