"""Tests of the writers of the emulated store."""

import json
import random
import unittest
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from jacinthcart.front import RawRequest
from jacinthcart.network import Endpoint
from jacinthcart_emulator.platform_store import StoreEmulator
from jacinthcart_lab._store_writers import StoreWriters
from jacinthcart_lab.platform_deployment import find_free_ports
from tests.support import ManualClock

_ADDRESS = '127.0.0.1'
_TIMEOUT_S = 30


class _Fixture:
    """A store with its writers and the task group of a scenario."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = StoreEmulator(self.clock)
        self.writers = StoreWriters(self.store, random.Random(1))
        self.tasks: TaskGroup

    async def run(
        self, scenario: Callable[['_Fixture'], Awaitable[None]]
    ) -> None:
        port = find_free_ports(_ADDRESS, 1)[0]
        with anyio.fail_after(_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                endpoint = Endpoint(address=_ADDRESS, port=port)
                await self.writers.start(endpoint, self.tasks)
                await scenario(self)
                self.tasks.cancel_scope.cancel()

    async def list_keys(self) -> set[str]:
        """Return the keys of the store."""
        target = b'/jacinthcart/kv-range?prefix='
        request = RawRequest('GET', target, (), b'', 0, True)
        response = await self.store.handle(request)
        items = json.loads(response.body)['items']
        return {item['key'] for item in items}

    async def wait_for_writes(self, count: int) -> None:
        """Wait until the writers have written `count` times."""
        while len(self.writers.writes) < count:
            await anyio.sleep(0.01)


class StoreWritersTests(unittest.TestCase):
    """What the system wrote is written again after a return."""

    def test_operator_and_searchers_write_again(self) -> None:
        """Values and removals that the copy lacks are written again."""

        async def scenario(fixture: _Fixture) -> None:
            writers = fixture.writers
            writers.write('op/evacuate/zone-a', {})
            writers.write('servers/gone', {'sequence': 1})
            fixture.clock.advance(2)
            writers.write('op/config', {'version': 3})
            writers.write('op/evacuate/zone-a', None)
            writers.write('servers/gone', None)
            writers.write('servers/new', {'sequence': 2})
            before = await fixture.list_keys()
            await writers.play_return(1, 0, fixture.tasks)
            returned = await fixture.list_keys()
            self.assertEqual(returned, {'op/evacuate/zone-a', 'servers/gone'})
            self.assertEqual(writers.pending_count, 4)
            await fixture.wait_for_writes(6 + 4)
            self.assertEqual(writers.pending_count, 0)
            self.assertEqual(await fixture.list_keys(), before)

        _run(scenario)

    def test_searcher_writes_again_with_its_next_sequence(self) -> None:
        """Guards against a repeated advertisement that looks old."""

        async def scenario(fixture: _Fixture) -> None:
            writers = fixture.writers
            message = {'sequence': writers.take_sequence(), 'state': 'ready'}
            writers.write('servers/s', message)
            await writers.play_return(0, 0, fixture.tasks)
            await fixture.wait_for_writes(2)
            self.assertEqual(
                writers.writes[-1].message, {'sequence': 2, 'state': 'ready'}
            )

        _run(scenario)

    def test_searcher_that_has_ended_writes_nothing(self) -> None:
        """Guards against an advertisement of a crashed searcher."""

        async def scenario(fixture: _Fixture) -> None:
            writers = fixture.writers
            writers.write('servers/a', {'sequence': 1})
            writers.write('servers/b', {'sequence': 2})
            writers.forget('servers/a')
            await writers.play_return(0, 0, fixture.tasks)
            await fixture.wait_for_writes(3)
            self.assertEqual(writers.writes[-1].key, 'servers/b')

        _run(scenario)

    def test_write_while_the_store_is_away_follows_its_return(self) -> None:
        """Nothing is acknowledged before the store is back."""

        async def scenario(fixture: _Fixture) -> None:
            writers = fixture.writers
            fixture.tasks.start_soon(writers.play_return, 0, 0.2, fixture.tasks)
            while not fixture.store.is_away:
                await anyio.sleep(0.01)
            writers.write('op/config', {'version': 3})
            self.assertEqual(writers.writes, [])
            await fixture.wait_for_writes(1)
            self.assertEqual(fixture.store.era, 2)
            self.assertGreater(writers.writes[0].at, writers.returns[0].back_at)

        _run(scenario)


def _run(scenario: Callable[[_Fixture], Awaitable[None]]) -> None:
    anyio.run(_Fixture().run, scenario)
