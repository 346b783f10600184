"""Tests of the client of the platform's store."""

import unittest

import anyio

from jacinthcart.network import Endpoint
from jacinthcart.platform._store import PlatformStore
from jacinthcart.readings import StoreError
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME
from tests.scripted_server import ScriptedServer

_BODY = b'{"items": [], "events": [], "at": 7}'
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(_BODY) + _BODY
)


async def _call(response: bytes) -> list[int | StoreError]:
    """Return the revisions of a read and a watch, or their errors."""
    outcomes: list[int | StoreError] = []
    async with ScriptedServer(
        [response, response], len(response)
    ).listen() as port:
        store = PlatformStore(Endpoint(address='127.0.0.1', port=port))
        for call in (store.read('op/', 5), store.watch(7, 0)):
            try:
                outcomes.append((await call).revision)
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
