"""Tests of the simulated store that comes back from older copies.

Each name is a sentence of the platform's pages.
"""

import random
import unittest
from typing import Any

import anyio

from jacinthcart.errors import WireError
from jacinthcart.wire import HttpResponse, decode_json
from tests.readings.returns._store import ModelStore, StoreParameters
from tests.support import run_in_virtual_time

_READ = '/jacinthcart/kv-range?prefix='


class ModelStoreTests(unittest.TestCase):
    """The store keeps to its pages, before and after a return."""

    def test_it_loses_what_it_has_acknowledged_since_the_copy(self) -> None:
        """Guards against returns that lose nothing."""
        found = run_in_virtual_time(self._read_after_return)
        self.assertEqual(_list_keys(found), ['a'])

    def test_revisions_go_back_and_are_given_out_again(self) -> None:
        """Guards against revisions that only rise."""
        revisions = run_in_virtual_time(self._write_after_return)
        self.assertEqual(revisions, (2, 2))

    def test_a_watch_from_a_revision_that_it_lacks_gets_410(self) -> None:
        """Guards against watches of the future that wait."""
        found = run_in_virtual_time(self._watch_after_return, 2)
        self.assertEqual(found.status, 410)

    def test_the_header_rises_by_one_in_all_its_answers(self) -> None:
        """Guards against an era that is told only sometimes."""
        read = run_in_virtual_time(self._read_after_return)
        lost = run_in_virtual_time(self._watch_after_return, 2)
        eras = [one.headers[b'store-era'] for one in (read, lost)]
        self.assertEqual(eras, [b'1', b'1'])

    def test_a_watch_that_is_waiting_may_be_cut(self) -> None:
        """Guards against watches that see two eras."""
        error = run_in_virtual_time(self._wait_over_return, False)
        self.assertIsInstance(error, WireError)

    def test_a_watch_that_is_waiting_may_get_no_answer(self) -> None:
        """Guards against returns that every reader notices at once."""
        error = run_in_virtual_time(self._wait_over_return, True)
        self.assertIsInstance(error, TimeoutError)

    def test_a_copy_may_be_from_before_an_earlier_return(self) -> None:
        """Guards against a history that mixes two eras."""
        keys = run_in_virtual_time(self._watch_after_two_returns)
        self.assertEqual(keys, ['b'])

    def test_it_answers_nothing_while_it_is_away(self) -> None:
        """Guards against writes that are accepted and then lost."""
        with self.assertRaises(WireError):
            run_in_virtual_time(self._write_while_away)

    async def _return(self, *, hangs: bool = False) -> ModelStore:
        """Return a store that has lost `b`, its revision 2."""
        store = ModelStore(StoreParameters(), random.Random(1))
        store.put('a', b'1')
        await anyio.sleep(1)
        store.put('b', b'2')
        await anyio.sleep(1)
        store.leave(leaves_watches_hanging=hangs)
        store.come_back(1.5, keeps_history=True)
        return store

    async def _read_after_return(self) -> HttpResponse:
        store = await self._return()
        return await store.answer(_READ)

    async def _write_after_return(self) -> tuple[int, int]:
        store = await self._return()
        lost = store.find_moment(anyio.current_time() - 0.5)
        return lost.revision, store.put('c', b'3')

    async def _watch_after_return(self, after: int) -> HttpResponse:
        store = await self._return()
        return await store.answer(_watch(after))

    async def _wait_over_return(self, hangs: bool) -> Exception | None:
        store = ModelStore(StoreParameters(), random.Random(1))
        errors: list[Exception] = []

        async def wait() -> None:
            try:
                with anyio.fail_after(5):
                    await store.answer(_watch(0))
            except (WireError, TimeoutError) as error:
                errors.append(error)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(1)
            store.leave(leaves_watches_hanging=hangs)
            store.come_back(0.5, keeps_history=True)
            store.put('a', b'1')
        return errors[0] if errors else None

    async def _watch_after_two_returns(self) -> list[str]:
        store = await self._return()
        store.put('c', b'3')
        await anyio.sleep(0.2)
        store.leave(leaves_watches_hanging=False)
        store.come_back(0.7, keeps_history=True)
        return _list_keys(await store.answer(_watch(1)), 'events')

    async def _write_while_away(self) -> None:
        store = await self._return()
        store.leave(leaves_watches_hanging=False)
        store.put('c', b'3')


def _watch(after: int) -> str:
    return f'/jacinthcart/kv-watch?prefix=&after={after}&wait_ms=1000'


def _list_keys(response: HttpResponse, name: str = 'items') -> list[str]:
    body: dict[str, Any] = decode_json(response.body)
    return [one['key'] for one in body[name]]


if __name__ == '__main__':
    unittest.main()
