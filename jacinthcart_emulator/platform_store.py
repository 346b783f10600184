"""Stand-in for the users' platform store, with faults on demand."""

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
_JSON = ((b'Content-Type', b'application/json'),)
_LIMITS = FrontLimits(65536, 1 << 20, 10, 600)


class StoreFault(enum.StrEnum):
    """How the store fails, if it does."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    SILENT = 'silent'
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True)
class _Stored:
    """One key."""

    content: bytes
    revision: int
    created: int


class StoreEmulator(BaseRequestHandler):
    """Keeps items and serves reads and watches."""

    def __init__(self) -> None:
        """Start empty."""
        self.fault = StoreFault.NONE
        self.calls = 0
        self.revision = 1
        self._stored_by_key: dict[str, _Stored] = {}
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._history_from = 0
        self._changed = anyio.Event()

    def get_limits(self) -> FrontLimits:
        """Return generous limits."""
        return _LIMITS

    def put(self, key: str, value: Any) -> int:
        """Write a JSON value and return its revision."""
        return self.put_bytes(key, encode_json(value))

    def put_bytes(self, key: str, content: bytes) -> int:
        """Write any bytes and return their revision."""
        self.revision += 1
        known = self._stored_by_key.get(key)
        created = known.created if known else self.revision
        stored = _Stored(content, self.revision, created)
        self._stored_by_key[key] = stored
        self._note(_encode_item(key, stored))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it is there."""
        if self._stored_by_key.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {'key': key, 'revision': self.revision, 'removed': True},
            )

    def forget_history(self) -> None:
        """Drop the history; watches from before it get 410."""
        self._events.clear()
        self._history_from = self.revision
        self._notify()

    async def handle(self, request: RawRequest) -> RawResponse:
        """Answer one call."""
        self.calls += 1
        if self.fault is StoreFault.BUSY:
            return RawResponse(503)
        if self.fault is StoreFault.MANY:
            return RawResponse(429)
        if self.fault is StoreFault.SILENT:
            await anyio.sleep(30)
        if self.fault is StoreFault.SLOW:
            await anyio.sleep(0.25)
        fields = request.query
        if request.path == '/jacinthcart/kv-range':
            return self._range(fields)
        if request.path == '/jacinthcart/kv-watch':
            return await self._watch(fields)
        return RawResponse(404)

    def _range(self, fields: dict[str, str]) -> RawResponse:
        prefix = fields.get('prefix', '')
        after = fields.get('after', '')
        keys = sorted(
            key
            for key in self._stored_by_key
            if key.startswith(prefix) and key > after
        )
        page = keys[:_PAGE_ITEMS]
        return _respond(
            {
                'items': [
                    _encode_item(key, self._stored_by_key[key]) for key in page
                ],
                'has_more': len(keys) > len(page),
                'at': self.revision,
            },
        )

    async def _watch(self, fields: dict[str, str]) -> RawResponse:
        after = int(fields['after'])
        prefix = fields.get('prefix', '')
        deadline = anyio.current_time() + int(fields['wait_ms']) / _MS_PER_S
        while True:
            if after < self._history_from:
                return RawResponse(410)
            events = [
                event
                for revision, event in self._events
                if revision > after and event['key'].startswith(prefix)
            ]
            left_s = deadline - anyio.current_time()
            if events or left_s <= 0:
                return _respond({'events': events, 'at': self.revision})
            with anyio.move_on_after(left_s):
                await self._changed.wait()

    def _note(self, event: dict[str, Any]) -> None:
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
    """Serve the store until the task group ends."""
    logger = create_logger('emulator')
    server = HttpServer(endpoint, store, read_boot_clock, logger)
    await server.start(tasks)
    return server


def _encode_item(key: str, stored: _Stored) -> dict[str, Any]:
    return {
        'key': key,
        'value': base64.b64encode(stored.content).decode(),
        'revision': stored.revision,
        'created': stored.created,
        'lease': 0,
    }


def _respond(message: dict[str, Any]) -> RawResponse:
    return RawResponse(200, _JSON, encode_json(message))
