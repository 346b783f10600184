"""Fake entries for tests of the caller in virtual time."""

import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx
from trio.testing import MockClock

from jacinthcart.caller import Address, Caller
from jacinthcart.errors import Ran, RefusalCode

SEED = Address('127.0.0.1', 7001)
OTHER = Address('127.0.0.2', 7001)
THIRD = Address('127.0.0.3', 7001)
ROUTE = 'voskovka/hledat'
ADDRESS_LIFETIME_S = 5.0

Reply = Callable[[dict[str, Any]], Awaitable[httpx.Response]]


async def answer(request: dict[str, Any]) -> httpx.Response:
    """Answer a request with complete coverage."""
    return httpx.Response(
        200,
        json={
            'request_id': request['request_id'],
            'workspace': 'voskovka/praha',
            'snapshot': {'index_version': 1, 'partition_map': 1},
            'coverage': {
                'shards_asked': 1,
                'shards_answered': 1,
                'missing': [],
                'complete': True,
            },
            'hits': [{'id': 'a', 'score': 1.0}],
        },
    )


def refusing(
    code: RefusalCode,
    ran: Ran = Ran.NOT_RUN,
    retry_after_ms: int | None = None,
    status: int = 503,
) -> Reply:
    """Return a reply function that refuses the request."""

    async def reply(request: dict[str, Any]) -> httpx.Response:
        return httpx.Response(
            status,
            json={
                'refusal': {
                    'code': code,
                    'ran': ran,
                    'detail': '',
                    'retry_after_ms': retry_after_ms,
                    'try_addresses': [],
                },
                'request_id': request['request_id'],
                'workspace': None,
            },
        )

    return reply


def failing(error: Exception) -> Reply:
    """Return a reply function that raises a transport error."""

    async def reply(request: dict[str, Any]) -> httpx.Response:
        raise error

    return reply


class FakeFleet(httpx.AsyncBaseTransport):
    """Transport to fake entries that records requests."""

    def __init__(self) -> None:
        """Start with two VMs that answer completely."""
        self.reply_by_host: dict[str, Reply] = {}
        self.listed_addresses = [SEED, OTHER]
        self.is_listing = True
        self.prefix: str | None = 'vm1.inc.5'
        self.hosts: list[str] = []
        self.requests: list[dict[str, Any]] = []
        self.list_requests = 0

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Answer as the entry at the address of the request."""
        if request.url.path == '/v1/addresses':
            return self._list()
        body = json.loads(await request.aread())
        self.hosts.append(request.url.host)
        self.requests.append(body)
        reply = self.reply_by_host.get(request.url.host, answer)
        return await reply(body)

    def _list(self) -> httpx.Response:
        self.list_requests += 1
        if not self.is_listing:
            raise httpx.ConnectError('refused')
        message: dict[str, Any] = {
            'addresses': [
                {
                    'vm': entry.address,
                    'address': entry.address,
                    'port': entry.port,
                    'data_centre': 'dc1',
                }
                for entry in self.listed_addresses
            ],
            'keep_for_ms': ADDRESS_LIFETIME_S * 1000,
        }
        if self.prefix is not None:
            message['request_id_prefix'] = self.prefix
        return httpx.Response(200, json=message)


def run_virtual(
    test: Callable[[FakeFleet, Caller], Awaitable[None]],
) -> None:
    """Run a test with a caller in virtual time."""

    async def run() -> None:
        fleet = FakeFleet()
        caller = Caller(
            [SEED],
            'key',
            anyio.current_time,
            random.Random(1),
            transport=fleet,
        )
        await test(fleet, caller)
        await caller.close()

    anyio.run(
        run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
