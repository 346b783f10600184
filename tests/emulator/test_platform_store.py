"""Tests of the emulated store: its returns from an older copy.

Each test is named after a sentence of the users' description of the drill.
"""

import functools
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx

from jacinthcart.front import RawRequest, RawResponse
from jacinthcart.network import Endpoint
from jacinthcart_emulator.platform_store import (
    StoreAwayError,
    StoreEmulator,
    StoreFault,
    StoreServer,
)
from jacinthcart_lab.platform_deployment import find_free_ports
from tests.support import ManualClock, run_in_virtual_time

_ADDRESS = '127.0.0.1'
_LONG_WAIT_MS = 20000


def _read(store: StoreEmulator, prefix: str = '') -> dict[str, Any]:
    """Return the body of a read."""
    response = _call(store, f'kv-range?prefix={prefix}')
    return dict(json.loads(response.body))


def _list_keys(store: StoreEmulator) -> list[str]:
    return [item['key'] for item in _read(store)['items']]


def _call(store: StoreEmulator, call: str) -> RawResponse:
    response = run_in_virtual_time(_handle, store, call)
    assert isinstance(response, RawResponse)
    return response


async def _handle(store: StoreEmulator, call: str) -> RawResponse:
    target = f'/jacinthcart/{call}'.encode()
    return await store.handle(RawRequest('GET', target, (), b'', 0, True))


def _watch(store: StoreEmulator, after: int, wait_ms: int = 0) -> RawResponse:
    return _call(store, f'kv-watch?after={after}&wait_ms={wait_ms}')


def _get_era(response: RawResponse) -> bytes | None:
    return dict(response.headers).get(b'Store-Era')


class ReturnTests(unittest.TestCase):
    """The store comes back from a copy, without a network."""

    def setUp(self) -> None:
        """Create a store with one item and a copy of that state."""
        self.clock = ManualClock()
        self.store = StoreEmulator(self.clock)
        self.store.put('kept', 1)
        self.copy = self.store.take_copy()

    def test_it_comes_back_from_a_copy_some_seconds_old(self) -> None:
        """The state is that of the moment asked for, not of a later write."""
        self.clock.advance(4)
        self.store.put('later', 1)
        self.clock.advance(4)
        self.store.put('latest', 1)
        self.store.return_from(self.store.copies.find(2))
        self.assertEqual(_list_keys(self.store), ['kept', 'later'])
        self.store.return_from(self.store.copies.find(6))
        self.assertEqual(_list_keys(self.store), ['kept'])

    def test_copies_are_at_most_ten_seconds_old(self) -> None:
        """Guards against a return that loses more than the drill may."""
        self.clock.advance(20)
        self.store.put('later', 1)
        self.clock.advance(11)
        self.store.put('latest', 1)
        self.store.return_from(self.store.copies.find(60))
        self.assertEqual(_list_keys(self.store), ['kept', 'later'])

    def test_it_loses_what_it_has_acknowledged(self) -> None:
        """New keys, new values and removals since the copy are gone."""
        self.store.put('new', 1)
        self.store.put('kept', 2)
        self.store.return_from(self.copy)
        item = _read(self.store)['items'][0]
        self.assertEqual(_list_keys(self.store), ['kept'])
        self.assertEqual(item['revision'], self.copy.revision)
        self.store.remove('kept')
        self.store.return_from(self.copy)
        self.assertEqual(_list_keys(self.store), ['kept'])

    def test_only_then_does_it_lose_anything(self) -> None:
        """An outage without a return keeps everything."""
        self.store.is_away = True
        self.store.is_away = False
        self.store.put('new', 1)
        self.assertEqual(_list_keys(self.store), ['kept', 'new'])

    def test_revisions_go_back_and_are_given_out_again(self) -> None:
        """One revision names two values in two eras."""
        revision = self.store.put('new', 1)
        self.store.return_from(self.copy)
        self.assertEqual(_read(self.store)['at'], self.copy.revision)
        self.assertEqual(self.store.put('other', 1), revision)

    def test_a_watch_from_a_revision_it_does_not_have_gets_410(self) -> None:
        """A revision of the future is unknown until it is given out again."""
        revision = self.store.put('new', 1)
        self.assertEqual(_watch(self.store, revision).status, 200)
        self.store.return_from(self.copy)
        self.assertEqual(_watch(self.store, revision).status, 410)
        self.assertEqual(_watch(self.store, self.copy.revision).status, 200)
        self.store.put('other', 1)
        self.assertEqual(_watch(self.store, revision).status, 200)

    def test_a_watch_that_waits_over_the_return_gets_410(self) -> None:
        """Guards against events of two eras in one watch."""

        async def scenario() -> None:
            statuses = []

            async def watch() -> None:
                call = f'kv-watch?after={revision}&wait_ms={_LONG_WAIT_MS}'
                statuses.append((await _handle(self.store, call)).status)

            revision = self.copy.revision
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(1)
                self.store.return_from(self.copy)
                self.store.put('other', 1)
            self.assertEqual(statuses, [410])

        run_in_virtual_time(scenario)

    def test_history_since_the_copy_is_gone(self) -> None:
        """A watch from before the copy sees only the new events."""
        self.store.put('lost', 1)
        self.store.return_from(self.copy)
        self.store.put('other', 1)
        body = json.loads(_watch(self.store, 1).body)
        keys = [event['key'] for event in body['events']]
        self.assertEqual(keys, ['kept', 'other'])

    def test_header_is_in_all_its_answers(self) -> None:
        """Guards against an error or an outage without the era."""
        calls = ('kv-range?prefix=', 'kv-watch?after=99&wait_ms=0', 'unknown')
        for call in calls:
            self.assertEqual(_get_era(_call(self.store, call)), b'1')
        for fault in (StoreFault.BUSY, StoreFault.MANY, StoreFault.SLOW):
            self.store.fault = fault
            response = _call(self.store, 'kv-range?prefix=')
            self.assertEqual(_get_era(response), b'1')

    def test_header_rises_by_one_each_time(self) -> None:
        """Returns in series give eras 2 and 3."""
        for era in (b'2', b'3'):
            self.store.return_from(self.copy)
            response = _call(self.store, 'kv-range?prefix=')
            self.assertEqual(_get_era(response), era)

    def test_header_can_be_omitted(self) -> None:
        """A store without the header differs in nothing else."""
        self.store.has_era_header = False
        self.store.return_from(self.copy)
        response = _call(self.store, 'kv-range?prefix=')
        self.assertIsNone(_get_era(response))
        self.assertEqual(response.status, 200)


class AwayTests(unittest.TestCase):
    """The store may be away for a moment, seen over real connections."""

    def test_no_call_is_answered_while_it_is_away(self) -> None:
        """Connections are refused until it is back."""

        async def scenario(
            store: StoreEmulator, server: StoreServer, url: str
        ) -> None:
            async with httpx.AsyncClient() as client:
                await client.get(f'{url}/kv-range')
                await server.go_away()
                with self.assertRaises(httpx.TransportError):
                    await client.get(f'{url}/kv-range')
                await server.come_back()
                response = await client.get(f'{url}/kv-range')
            self.assertEqual(response.status_code, 200)
            self.assertEqual(response.headers['Store-Era'], '1')

        _run_with_server(scenario)

    def test_a_waiting_watch_is_cut_as_it_goes_away(self) -> None:
        """The connection closes without an answer."""

        async def scenario(
            store: StoreEmulator, server: StoreServer, url: str
        ) -> None:
            async def watch() -> None:
                query = f'after={store.revision}&wait_ms={_LONG_WAIT_MS}'
                client = httpx.AsyncClient(timeout=30)
                with self.assertRaises(httpx.TransportError):
                    await client.get(f'{url}/kv-watch?{query}')
                await client.aclose()

            async with anyio.create_task_group() as watches:
                watches.start_soon(watch)
                while not store.calls:
                    await anyio.sleep(0.01)
                await server.go_away()

        _run_with_server(scenario)

    def test_it_acknowledges_nothing_while_it_is_away(self) -> None:
        """Writes and removals fail until it is back."""

        async def scenario(
            store: StoreEmulator, server: StoreServer, url: str
        ) -> None:
            await server.go_away()
            with self.assertRaises(StoreAwayError):
                store.put('new', 1)
            with self.assertRaises(StoreAwayError):
                store.remove('kept')
            await server.come_back()
            store.put('new', 1)

        _run_with_server(scenario)


def _run_with_server(
    scenario: Callable[[StoreEmulator, StoreServer, str], Awaitable[None]],
) -> None:
    async def run() -> None:
        store = StoreEmulator()
        store.put('kept', 1)
        port = find_free_ports(_ADDRESS, 1)[0]
        server = StoreServer(store, Endpoint(address=_ADDRESS, port=port))
        url = f'http://{_ADDRESS}:{port}/jacinthcart'
        async with anyio.create_task_group() as tasks:
            await server.start(tasks)
            with anyio.fail_after(30):
                await functools.partial(scenario, store, server, url)()
            tasks.cancel_scope.cancel()

    anyio.run(run)
