"""Tests of the client of the platform's store."""

import unittest

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


def _create_response(era: str) -> bytes:
    head, separator, body = _RESPONSE.partition(b'\r\n\r\n')
    header = b'\r\nStore-Era: %s' % era.encode()
    return b''.join((head, header, separator, body))
