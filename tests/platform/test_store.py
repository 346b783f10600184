"""Tests of the client of the platform's store."""

import base64
import unittest
from collections.abc import Iterable

import anyio

from jacinthcart.network import Endpoint
from jacinthcart.platform._store import PlatformStore
from jacinthcart.readings import ReadResult, StoreError, WatchResult
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME
from tests.scripted_server import ScriptedServer

_BODY = b'{"items": [], "events": [], "at": 7}'
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(_BODY) + _BODY
)


async def _call(response: bytes) -> list[int | StoreError]:
    """Return the revisions of a read and a watch, or their errors."""
    return [
        outcome if isinstance(outcome, StoreError) else outcome.revision
        for outcome in await _list_outcomes(response)
    ]


async def _list_eras(response: bytes) -> list[int | None]:
    """Return the eras of a read and a watch."""
    outcomes = await _list_outcomes(response)
    return [
        outcome.era
        for outcome in outcomes
        if not isinstance(outcome, StoreError)
    ]


async def _list_outcomes(
    response: bytes,
) -> list[ReadResult | WatchResult | StoreError]:
    outcomes: list[ReadResult | WatchResult | StoreError] = []
    async with ScriptedServer(
        [response, response], len(response)
    ).listen() as port:
        store = PlatformStore(Endpoint(address='127.0.0.1', port=port))
        for call in (store.read('op/', 5), store.watch(7, 0)):
            try:
                outcomes.append(await call)
            except StoreError as error:
                outcomes.append(error)
        await store.close()
    return outcomes


class MalformedResponseTests(unittest.TestCase):
    """A malformed answer of the store proves nothing."""

    def test_malformed_answer_is_an_error(self) -> None:
        """Guards against a revision from a store in trouble."""
        for name, malformation in MALFORMATIONS_BY_NAME.items():
            with self.subTest(name):
                for outcome in anyio.run(_call, malformation.apply(_RESPONSE)):
                    self.assertIsInstance(outcome, StoreError)

    def test_well_formed_answers_are_read(self) -> None:
        """The malformed answers differ from this one only in their heads."""
        self.assertEqual(anyio.run(_call, _RESPONSE), [7, 7])


class EraTests(unittest.TestCase):
    """The header `Store-Era` of a read and a watch."""

    def test_era_is_read(self) -> None:
        """Guards against a return of the store that is logged without it."""
        for era in (0, 12, 2**53):
            with self.subTest(era):
                eras = anyio.run(_list_eras, _create_response(str(era)))
                self.assertEqual(eras, [era, era])

    def test_invalid_era_is_ignored(self) -> None:
        """Guards against losing the store's data to a header of the log."""
        self.assertEqual(anyio.run(_list_eras, _RESPONSE), [None, None])
        for text in ('', '-1', '1.5', 'x', '1_0', str(2**53 + 1), '9' * 5000):
            with self.subTest(text):
                eras = anyio.run(_list_eras, _create_response(text))
                self.assertEqual(eras, [None, None])


class EndlessReadTests(unittest.TestCase):
    """A read ends although the store always has more."""

    def test_pages_that_do_not_advance_are_an_error(self) -> None:
        """Guards against a read that collects the same page for ever."""
        pages = [_create_page('op/a') for _ in range(20)]
        self.assertIsInstance(anyio.run(_read, pages), StoreError)

    def test_table_above_the_maximum_is_an_error(self) -> None:
        """Guards against pages of new items until the memory is used up."""
        pages = [_create_page(f'op/{n:03}') for n in range(300)]
        self.assertIsInstance(anyio.run(_read, pages), StoreError)

    def test_table_that_fits_is_read(self) -> None:
        """Guards against a bound that refuses a table that fits."""
        pages = [_create_page(f'op/{n:03}') for n in range(40)]
        outcome = anyio.run(_read, pages)
        self.assertIsInstance(outcome, ReadResult)

    def test_answer_of_many_objects_is_an_error(self) -> None:
        """Guards against objects of many times the bytes of an answer."""
        body = b'{"items": [%s[]], "at": 7}' % (b'[],' * 300_000)
        outcomes = anyio.run(_list_outcomes, _add_head(body))
        for outcome in outcomes:
            self.assertTrue('too much memory' in str(outcome)[:200])


_MAX_TABLE_BYTES = 200_000


async def _read(pages: Iterable[bytes]) -> ReadResult | StoreError:
    """Return the outcome of a read whose last page is another one."""
    last = _add_head(b'{"items": [], "at": 7}')
    async with ScriptedServer([*pages, last], 100_000).listen() as port:
        store = PlatformStore(
            Endpoint(address='127.0.0.1', port=port), _MAX_TABLE_BYTES
        )
        try:
            return await store.read('op/', 5)
        except StoreError as error:
            return error
        finally:
            await store.close()


def _create_page(key: str) -> bytes:
    content = base64.b64encode(bytes(1000)).decode()
    item = f'{{"key": "{key}", "revision": 3, "value": "{content}"}}'
    body = f'{{"items": [{item}], "has_more": true, "at": 7}}'
    return _add_head(body.encode())


def _add_head(body: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


def _create_response(era: str) -> bytes:
    head, separator, body = _RESPONSE.partition(b'\r\n\r\n')
    header = b'\r\nStore-Era: %s' % era.encode()
    return b''.join((head, header, separator, body))
