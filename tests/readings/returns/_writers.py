"""The operator and the searchers, who write to the store."""

import random
from typing import Any

import anyio

from jacinthcart.errors import OutcomeUnknownError
from jacinthcart.wire import encode_json
from tests.readings.returns._store import (
    CONFIG_KEY,
    EVACUATE_PREFIX,
    SERVER_PREFIX,
    ModelStore,
)

DATA_CENTRES = ('zone-1', 'zone-2', 'zone-3')
SERVICES = ('shard-0', 'shard-1')
_RETRY_S = 0.2
#: Longest time in seconds until a writer has noticed a return and writes
#: again.
MAX_REWRITE_S = 1.8
#: Seconds after a return at which the entries of dead searchers expire.
_ENTRY_LEASE_S = 2.5


class Operator:
    """Writes configurations with versions of its own, and evacuations."""

    def __init__(self, store: ModelStore, source: random.Random) -> None:
        """Start with a first configuration that isn't written yet."""
        self._store = store
        self._random = source
        self._keys = {'key-0', 'key-1'}
        self._key_count = 2
        self.version = 1
        self.evacuated: set[str] = set()
        #: First version without each key that was withdrawn.
        self.version_by_withdrawn_key: dict[str, int] = {}

    def change_config(self, *, withdraws_key: bool) -> None:
        """Decide on a newer version."""
        self.version += self._random.randint(1, 4)
        if withdraws_key and len(self._keys) > 1:
            key = self._random.choice(sorted(self._keys))
            self._keys.remove(key)
            self.version_by_withdrawn_key[key] = self.version
        self._keys.add(f'key-{self._key_count}')
        self._key_count += 1

    def change_evacuation(self, data_centre: str) -> None:
        """Decide to evacuate a data centre, or to end that."""
        self.evacuated ^= {data_centre}

    async def write_config(self) -> None:
        """Write the newest configuration until the store accepts it."""
        while True:
            document = {
                'version': self.version,
                'routes': [_describe_route(self.version)],
                'services': [{'name': name} for name in SERVICES],
                'tenants': [{'name': 'mill', 'api_keys': sorted(self._keys)}],
            }
            if _try_put(self._store, CONFIG_KEY, encode_json(document)):
                return
            await anyio.sleep(_RETRY_S)

    async def write_evacuations(self) -> None:
        """Write what differs until the store accepts it."""
        for data_centre in DATA_CENTRES:
            key = f'{EVACUATE_PREFIX}{data_centre}'
            while (data_centre in self.evacuated) != (
                key in self._store.value_by_key
            ):
                content = b'{}' if data_centre in self.evacuated else None
                if not _try_put(self._store, key, content):
                    await anyio.sleep(_RETRY_S)

    async def write_again(self) -> None:
        """Write everything again after a return, in any order."""
        await anyio.sleep(MAX_REWRITE_S / 2 * self._random.random())
        writes = [self.write_config, self.write_evacuations]
        self._random.shuffle(writes)
        for write in writes:
            await write()
            await anyio.sleep(MAX_REWRITE_S / 2 * self._random.random())

    def is_settled(self) -> bool:
        """Return whether the store holds what the operator wants."""
        held = self._store.moments[-1]
        return (
            not self._store.is_away
            and held.version == self.version
            and held.evacuated == self.evacuated
        )


class ModelSearcher:
    """One searcher, which publishes an entry of its own."""

    def __init__(
        self, number: int, store: ModelStore, source: random.Random
    ) -> None:
        """Start ready, without an entry."""
        self.searcher_id = f'searcher-{number}'
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.state = 'ready'
        self.is_alive = True
        self._service = SERVICES[number % len(SERVICES)]
        self._store = store
        self._random = source
        self._born = 1
        self._sequence = 0
        self._writes = 0

    @property
    def is_offered(self) -> bool:
        """Whether requests are to be sent to it, evacuations apart."""
        return self.is_alive and self.state == 'ready'

    async def drain(self) -> None:
        """Say that it is leaving."""
        self.state = 'draining'
        await self.publish()

    async def exit(self) -> None:
        """End, and remove the entry."""
        self.is_alive = False
        await self._write(None)

    async def restart(self) -> None:
        """Start again under the same id."""
        self.is_alive = True
        self.state = 'ready'
        self._born = int(anyio.current_time() * 1000) + 2
        self._sequence = 0
        await self.publish()

    async def publish(self) -> None:
        """Write the entry with the next sequence number."""
        self._sequence += 1
        entry = {
            'service': self._service,
            'address': '127.0.0.1:9',
            'zone': self.data_centre,
            'concurrency_limit': 2,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        await self._write(encode_json(entry))

    async def write_again(self) -> None:
        """Publish the entry again after a return; a dead one expires."""
        if not self.is_alive:
            await anyio.sleep(_ENTRY_LEASE_S)
            if not self.is_alive and self._is_listed():
                await self._write(None)
            return
        await anyio.sleep(MAX_REWRITE_S * self._random.random())
        if self.is_alive:
            await self.publish()

    def is_settled(self) -> bool:
        """Return whether the store has the entry, or rightly none."""
        return self._is_listed() == self.is_alive

    def _is_listed(self) -> bool:
        return f'{SERVER_PREFIX}{self.searcher_id}' in self._store.value_by_key

    async def _write(self, content: bytes | None) -> None:
        key = f'{SERVER_PREFIX}{self.searcher_id}'
        self._writes += 1
        number = self._writes
        # A later write replaces one that the store hasn't accepted yet.
        while number == self._writes:
            if _try_put(self._store, key, content):
                return
            await anyio.sleep(_RETRY_S)


def _try_put(store: ModelStore, key: str, content: bytes | None) -> bool:
    try:
        store.put(key, content)
    except OutcomeUnknownError:
        return False
    return True


def _describe_route(version: int) -> dict[str, Any]:
    return {
        'name': f'route-{version}',
        'host': 'shop.example',
        'prefix': f'/{version}/',
        'route_type': 'idempotent',
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'service': SERVICES[0],
    }
