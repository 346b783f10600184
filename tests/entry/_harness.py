"""Runs an entry in virtual time with fakes of control and gather."""

import contextlib
import hashlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import httpx
from trio.testing import MockClock

from jacinthcart.entry import (
    BasePermitSource,
    EntryApp,
    build_components,
)
from jacinthcart.errors import Ran, RefusalCode
from jacinthcart.feed import StateFeed
from jacinthcart.limits import Permit
from jacinthcart.settings import ProcessSettings, SettingsValue
from jacinthcart.telemetry import Logger, Metrics
from jacinthcart.wire import (
    ConnectionPool,
    HttpResponse,
    decode_json,
    encode_json,
)

KEY = 'praha-key-7f3c'
OTHER_TEAM_KEY = 'bergen-key-11aa'
WORKSPACE = 'voskovka/praha'
KEYS_PATH = 'teams/voskovka/keys/praha'
SEARCH = '/v1/teams/voskovka/routes/hledat'
SUBMIT = '/v1/teams/voskovka/routes/objednat'
OPEN = '/v1/teams/voskovka/routes/verejne'
AUTHORIZED = {'authorization': f'Bearer {KEY}'}
QUERY = {'text': 'vosk'}
PREFIX = 'vm1.inc1.1000'
SERVICE = {
    'parts_by_name': {
        'p0': {
            'shards': [0],
            'searchers_by_id': {
                's0': {
                    'address': '127.0.0.1',
                    'port': 9,
                    'data_centre': 'dc1',
                },
            },
        },
    },
    'index_versions': [1],
    'slots': 2,
    'connection_limit': 25,
}


def digest(key: str) -> str:
    """Return the digest that the settings store for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def roster_entry(number: int, data_centre: str) -> dict[str, Any]:
    """Return the roster entry of VM `number`."""
    return {
        'address': f'127.0.0.{number}',
        'data_centre': data_centre,
        'entry_port': 7001,
        'gather_port': 7002,
        'control_port': 7003,
        'admin_port': 7004,
    }


SETTINGS: dict[str, Any] = {
    'fleet/roster': {
        'vms_by_id': {
            'vm1': roster_entry(1, 'dc1'),
            'vm2': roster_entry(2, 'dc1'),
            'vm3': roster_entry(3, 'dc2'),
            'vm4': roster_entry(4, 'dc2'),
        },
    },
    'teams/voskovka/services/katalog': SERVICE,
    'teams/voskovka/routes/hledat': {
        'kind': 'search',
        'service': 'katalog',
        'request_class': 'priority',
        'max_body_bytes': 1000,
    },
    'teams/voskovka/routes/objednat': {'kind': 'submit', 'service': 'katalog'},
    'teams/voskovka/routes/verejne': {
        'kind': 'search',
        'service': 'katalog',
        'open_to_all': True,
        'charged_workspace': 'web',
    },
    'teams/voskovka/workspaces/praha': {'rate': 50, 'burst': 10},
    'teams/voskovka/workspaces/web': {'rate': 50, 'burst': 10},
    KEYS_PATH: {'sha256_digests': [digest(KEY)]},
    'teams/fjordsom/workspaces/bergen': {'rate': 50, 'burst': 10},
    'teams/fjordsom/keys/bergen': {'sha256_digests': [digest(OTHER_TEAM_KEY)]},
}
PROCESS = ProcessSettings(
    vm_id='vm1',
    data_centre='dc1',
    address='127.0.0.1',
    entry_port=7001,
    gather_port=7002,
    control_port=7003,
    admin_port=7004,
    admin_key_sha256='0' * 64,
    config_service={'address': '127.0.0.1', 'port': 9},
)


class FakeFeed(StateFeed):
    """A state feed filled by the test instead of by control."""

    def __init__(self) -> None:
        """Start with all settings and an unlimited lease."""
        super().__init__(PROCESS, 'entry', anyio.current_time)
        self.lease_until = float('inf')
        self.put(SETTINGS)

    def is_serving(self) -> bool:
        """Return whether the lease set by the test is still valid."""
        return self.clock() < self.lease_until

    def put(self, changes: dict[str, Any]) -> None:
        """Set settings, or delete those whose value is None."""
        revision = self.store.revision + 1
        self.store.apply(
            {
                path: SettingsValue(revision, changed)
                for path, changed in changes.items()
            },
            revision,
        )


class FakePermits(BasePermitSource):
    """Grants permits after an optional action set by the test."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Grant immediately, with a lifetime of 0.25 s."""
        self.requested_workspaces: list[str] = []
        self.lifetimes_s = [0.25]
        self.before_grant: Callable[[], Awaitable[None]] | None = None
        self._clock = clock

    async def run(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def acquire(self, workspace_id: str) -> Permit:
        """Return a permit whose lifetime starts at the time of the call."""
        self.requested_workspaces.append(workspace_id)
        lifetime_s = self.lifetimes_s[0]
        if len(self.lifetimes_s) > 1:
            self.lifetimes_s.pop(0)
        expires_at = self._clock() + lifetime_s
        if self.before_grant is not None:
            await self.before_grant()
        return Permit(expires_at)


class FakeGather:
    """Records the entry's calls to gather and answers them."""

    def __init__(self) -> None:
        """Answer every query with complete coverage."""
        self.calls: list[tuple[str, str, bytes, Any]] = []
        self.queries: list[dict[str, Any]] = []
        self.answer: Callable[[dict[str, Any]], Awaitable[HttpResponse]] = (
            answer_completely
        )
        self.prefix: str | None = PREFIX

    def create_pool(self, address: str, port: int, limit: int) -> 'FakePool':
        """Return a pool that passes its calls to this fake."""
        return FakePool(address, port, limit, self)


class FakePool(ConnectionPool):
    """A connection pool that opens no connections."""

    def __init__(
        self,
        address: str,
        port: int,
        limit: int,
        gather: FakeGather,
    ) -> None:
        """Pass calls to `gather`."""
        super().__init__(address, port, limit)
        self._gather = gather

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float = 5,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpResponse:
        """Record and answer one call."""
        self._gather.calls.append((self.address, target, body, headers))
        if target == '/v1/request-id-prefix':
            prefix = {'prefix': self._gather.prefix}
            return respond(200, prefix)
        query = decode_json(body)
        self._gather.queries.append(query)
        with anyio.fail_after(timeout_s):
            return await self._gather.answer(query)


def respond(status: int, message: Any) -> HttpResponse:
    """Return a JSON response."""
    return HttpResponse(status, {}, encode_json(message))


def complete_answer(request_id: str) -> dict[str, Any]:
    """Return an answer message of gather with complete coverage."""
    return {
        'request_id': request_id,
        'snapshot': {'index_version': 1, 'partition_map': 1},
        'coverage': {'shards_asked': 1, 'shards_answered': 1, 'missing': []},
        'hits': [{'id': 'a', 'score': 1.0}],
    }


async def answer_completely(query: dict[str, Any]) -> HttpResponse:
    """Answer a query with complete coverage."""
    return respond(200, complete_answer(query['request_id']))


class Harness:
    """An entry and an HTTP client that calls it."""

    def __init__(self) -> None:
        """Create the entry with fakes; must run inside an event loop."""
        self.feed = FakeFeed()
        self.permits = FakePermits(self.feed.clock)
        self.gather = FakeGather()
        self.components = build_components(
            self.feed,
            self.permits,
            Metrics(),
            Logger('entry', self.feed.clock),
            random.Random(1),
            self.gather.create_pool,
        )
        self.app = self.components.drain.track(
            EntryApp(self.components).build()
        )
        self.client = httpx.AsyncClient(
            transport=httpx.ASGITransport(
                self.app,
                raise_app_exceptions=False,
            ),
            base_url='http://entry',
        )

    async def send_query(
        self,
        path: str = SEARCH,
        headers: Any = AUTHORIZED,
        **fields: Any,
    ) -> httpx.Response:
        """Send one query."""
        return await self.client.post(
            path,
            headers=headers,
            json={'query': QUERY, **fields},
        )

    async def get_refusal(
        self,
        path: str = SEARCH,
        headers: Any = AUTHORIZED,
        **fields: Any,
    ) -> tuple[RefusalCode, Ran]:
        """Send one query and return the code and run state of its refusal."""
        return read_refusal(await self.send_query(path, headers, **fields))


def read_refusal(response: httpx.Response) -> tuple[RefusalCode, Ran]:
    """Return the code and run state of a refusal response."""
    refusal = response.json()['refusal']
    return RefusalCode(refusal['code']), Ran(refusal['ran'])


@contextlib.asynccontextmanager
async def open_harness() -> AsyncIterator[Harness]:
    """Create a harness and close its client afterwards."""
    harness = Harness()
    async with harness.client:
        yield harness


def run_virtual(test: Callable[[Harness], Awaitable[None]]) -> None:
    """Run a test against an entry in virtual time."""

    async def run() -> None:
        async with open_harness() as harness:
            await test(harness)

    anyio.run(
        run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
