"""Tests of pulls of store data from other VMs."""

import tracemalloc
import zlib
from unittest import TestCase, mock

import anyio

from jacinthcart.network import Endpoint
from jacinthcart.program import read_boot_clock
from jacinthcart.readings import (
    FreshnessLease,
    ItemTable,
    Position,
    TablePuller,
    TableServer,
)
from jacinthcart.telemetry import Logger, Metrics, create_logger
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME
from tests.scripted_server import ScriptedServer
from tests.support import ManualClock, create_item


_MAX_TABLE_BYTES = 1_000_000
_WHOLE_TEXT = b'{"complete_to": 7, "age_s": null, "items": []}'


def _create_response(content: bytes = b'{}') -> bytes:
    """Return a peer's response with one item."""
    table = ItemTable()
    table.merge([create_item('op/config', 3, content)])
    return _create_head_and_body(
        TableServer(table, FreshnessLease(read_boot_clock)).answer(0)
    )


def _create_head_and_body(body: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body) + body


async def _pull(response: bytes, logger: Logger | None = None) -> int:
    """Return the highest revision that a pull brings."""
    table = ItemTable()
    puller = TablePuller(
        table,
        FreshnessLease(read_boot_clock),
        logger or create_logger('test'),
        Metrics(),
        _MAX_TABLE_BYTES,
    )
    async with ScriptedServer([response], len(response)).listen() as port:
        await puller.pull('peer', Endpoint(address='127.0.0.1', port=port))
    return table.newest.revision


class MalformedResponseTests(TestCase):
    """A malformed response of a peer changes nothing."""

    def test_malformed_response_is_ignored(self) -> None:
        """Guards against store data from a response that is none."""
        for name, malformation in MALFORMATIONS_BY_NAME.items():
            with self.subTest(name):
                response = malformation.apply(_create_response())
                self.assertEqual(anyio.run(_pull, response), 0)

    def test_well_formed_response_is_merged(self) -> None:
        """The malformed responses differ from this one only in their heads."""
        self.assertEqual(anyio.run(_pull, _create_response()), 3)


class LargeResponseTests(TestCase):
    """The objects of a peer's response are bounded, not only its bytes."""

    def test_response_that_expands_is_refused(self) -> None:
        """Guards against a small response that takes all memory.

        A response of 100 KB may expand to 100 MB of text, and a text to
        objects of 20 times its bytes.
        """
        texts = (
            b' ' * 100_000_000,
            b'{"items": [%s{}]}' % (b'{},' * 300_000),
            b'[%s[]]' % (b'[],' * 300_000),
            b'["%s\xf0\x9f\x98\x80"]' % (b'a' * 900_000),
        )
        for text in texts:
            response = _create_head_and_body(zlib.compress(text))
            with self.subTest(text[:20]):
                self.assertEqual(anyio.run(_pull, response), 0)
                tracemalloc.start()
                anyio.run(_pull, response)
                peak_bytes = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                self.assertLess(peak_bytes, 6 * _MAX_TABLE_BYTES)

    def test_table_of_nearly_the_maximum_is_merged(self) -> None:
        """Guards against a bound that refuses a table that fits."""
        # The content is written in base64, with the other members beside it.
        content = b'x' * int(0.74 * _MAX_TABLE_BYTES)
        self.assertEqual(anyio.run(_pull, _create_response(content)), 3)

    def test_response_that_ends_early_is_refused(self) -> None:
        """Guards against a cut response that is taken for a whole one."""
        body = zlib.compress(_WHOLE_TEXT)
        whole, cut = (
            anyio.run(_pull, _create_head_and_body(one))
            for one in (body, body[:-1])
        )
        self.assertEqual((whole, cut), (7, 0))

    def test_malformed_items_cost_one_error(self) -> None:
        """Guards against an error that describes each of many items."""
        text = b'{"complete_to": 7, "age_s": null, "items": [%s{}]}'
        response = _create_head_and_body(zlib.compress(text % (b'{},' * 3000)))
        logger = mock.create_autospec(Logger, instance=True)
        anyio.run(_pull, response, logger)
        logged = logger.warning.call_args.kwargs['error']
        self.assertLess(len(logged), 4000)


class ProofTests(TestCase):
    """A proof holds for the contents that it names, not for others."""

    def setUp(self) -> None:
        """Create a puller whose copy is complete to revision 9."""
        self.table = ItemTable('op/')
        self.table.merge([create_item('op/config', 4, b'{}')])
        self.table.mark_complete_to(Position(0, 9))
        self.clock = ManualClock()
        self.puller = TablePuller(
            self.table,
            FreshnessLease(self.clock),
            create_logger('test'),
            Metrics(),
        )
        self.peer = ItemTable('op/')
        self.peer.merge([create_item('op/config', 8, b'new')])
        self.peer.mark_complete_to(Position(0, 9))

    def test_proof_of_other_contents_is_refused(self) -> None:
        """Guards against a fresh proof for an old configuration."""
        newest = self.peer.newest
        self.assertFalse(self.puller.is_covered(newest, self.peer.digest))
        self.table.merge([create_item('op/config', 8, b'new')])
        self.assertTrue(self.puller.is_covered(newest, self.peer.digest))

    def test_proof_of_a_later_copy_is_refused(self) -> None:
        """Guards against a proof that is newer than the copy.

        The peer has seen a change and its end; the change alone comes later.
        """
        self.assertFalse(
            self.puller.is_covered(Position(0, 11), self.table.digest)
        )

    def test_proof_without_a_digest_is_refused(self) -> None:
        """Guards against proofs of VMs that do not say of what."""
        self.assertFalse(self.puller.is_covered(self.peer.newest, None))

    def test_copies_that_differ_at_one_position_are_repaired(self) -> None:
        """Guards against a mark ahead of the copy that lasts."""
        self._pull_from_peer()
        self.clock.advance(1)
        self.table.merge([create_item('op/evacuate/a', 10, b'{}')])
        self.peer.mark_complete_to(Position(0, 10))
        self.assertTrue(
            self.puller.must_repair(self.peer.newest, self.peer.digest)
        )

    def test_vm_that_read_the_store_itself_asks_a_peer_once(self) -> None:
        """Guards against a new VM that lacks what its peers keep."""
        newest, digest = self.peer.newest, self.table.digest
        self.assertTrue(self.puller.must_repair(newest, digest))
        self._pull_from_peer()
        self.assertFalse(self.puller.must_repair(newest, self.table.digest))

    def test_peer_that_is_behind_is_asked_only_if_copies_stay_different(
        self,
    ) -> None:
        """Guards against transfers after each change, and a lasting one.

        A reader is ahead of its peers for as long as entries change.
        """
        self._pull_from_peer()
        self.table.mark_complete_to(Position(0, 12))
        self.clock.advance(2)
        self.table.merge([create_item('op/config', 13, b'newer')])
        newest, digest = self.peer.newest, self.peer.digest
        self.assertFalse(self.puller.must_repair(newest, digest))
        self.clock.advance(0.5)
        self.puller.must_repair(newest, self.table.digest)
        self.clock.advance(0.6)
        self.assertFalse(self.puller.must_repair(newest, digest))
        self.clock.advance(1)
        self.assertTrue(self.puller.must_repair(newest, digest))

    def _pull_from_peer(self) -> None:
        body = TableServer(self.peer, FreshnessLease(self.clock)).answer(0)
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        anyio.run(self._pull, head + body)

    async def _pull(self, response: bytes) -> None:
        server = ScriptedServer([response], len(response))
        async with server.listen() as port:
            endpoint = Endpoint(address='127.0.0.1', port=port)
            await self.puller.pull('peer', endpoint, is_repair=True)
