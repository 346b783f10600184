"""Stand-in for the platform's store: reads and watches over HTTP."""

import asyncio
import base64
import contextlib
import json
import time
import types
from typing import Any
from urllib.parse import parse_qsl

from review.kit.http import encode_response, read_message

_PAGE_ITEMS = 500
_MS_PER_S = 1000
_JSON = types.MappingProxyType({'Content-Type': 'application/json'})


class Store:
    """A linearizable store with one revision counter and its history."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen until `close`."""
        self._server = await asyncio.start_server(self._serve, address, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, fields: Any) -> float:
        """Write a JSON value; return the monotonic time of the ack."""
        self.revision += 1
        known = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(fields).encode()).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self._items[key] = item
        return self._append(item)

    def remove(self, key: str) -> float:
        """Remove a key; return the monotonic time of the ack."""
        self._items.pop(key, None)
        self.revision += 1
        return self._append(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def _append(self, event: dict[str, Any]) -> float:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_message(reader)
            while request is not None:
                path, _, query = request.start[1].partition('?')
                writer.write(await self._answer(path, dict(parse_qsl(query))))
                await writer.drain()
                request = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> bytes:
        if path == '/jacinthcart/kv-range':
            return _encode(self._read_range(query))
        if path == '/jacinthcart/kv-watch':
            return _encode(await self._watch(query))
        return encode_response(404, {})

    def _read_range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self._items[key] for key in keys[:_PAGE_ITEMS]],
            'has_more': len(keys) > _PAGE_ITEMS,
            'at': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix = query.get('prefix', '')
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['wait_ms']) / _MS_PER_S
        while True:
            events = [
                event
                for event in self._events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'at': self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


def _encode(body: dict[str, Any]) -> bytes:
    return encode_response(200, _JSON, json.dumps(body).encode())
