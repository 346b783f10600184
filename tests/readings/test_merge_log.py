"""Tests of the traces of items that contradict the copy."""

import unittest
from typing import Any

import anyio
import logbook

from jacinthcart.network import Endpoint
from jacinthcart.program import read_boot_clock
from jacinthcart.readings import (
    FreshnessLease,
    ItemTable,
    Position,
    ReaderParameters,
    ReaderRole,
    StoreReader,
    TablePuller,
    TableServer,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.readings.test_reader import FakeStore
from tests.scripted_server import ScriptedServer
from tests.support import create_item, run_in_virtual_time


class MergeLogTests(unittest.TestCase):
    """Items that a merge drops or that came late leave a trace.

    The store is at revision 9 and has `op/config` with the content `{}` at
    revision 3.
    """

    def setUp(self) -> None:
        """Create an empty copy."""
        self.table = ItemTable()
        self.metrics = Metrics()

    def test_older_item_of_the_store_is_counted(self) -> None:
        """Guards against a return of the store that leaves no trace."""
        self.table.merge([create_item('op/config', 9, b'known')])
        fields = self._read('item with a lower position ignored')
        expected = {
            'key': 'op/config',
            'position': '0.3',
            'known': '0.9',
            'source': 'store',
            'store': '0.9',
        }
        self.assertEqual(fields, expected)
        self.assertGreater(self._count('older_ignored'), 0)

    def test_older_item_of_a_peer_is_counted(self) -> None:
        """Guards against an old copy of a peer that leaves no trace."""
        self.table.merge([create_item('op/config', 9, b'known')])
        with logbook.TestHandler() as handler:
            anyio.run(self._pull)
        fields = _find(handler, 'item with a lower position ignored')
        self.assertEqual(fields.get('source'), 'peer')
        self.assertEqual(self._count('older_ignored'), 1)

    def test_revision_that_is_given_out_again_is_counted(self) -> None:
        """Guards against silently dropping a change with a known revision."""
        self.table.merge([create_item('op/config', 3, b'known')])
        event = 'item with a known position but other content'
        self.assertEqual(self._read(event).get('position'), '0.3')
        self.assertGreater(self._count('reused_revision'), 0)

    def test_change_below_the_complete_part_is_counted_once(self) -> None:
        """Guards against a copy that is marked complete without an item."""
        self.table.mark_complete_to(Position(0, 5))
        expected = {
            'key': 'op/config',
            'position': '0.3',
            'known': None,
            'complete_to': '0.5',
            'store': '0.9',
        }
        self.assertEqual(self._read('change missed by the copy'), expected)
        self.assertEqual(self._count('missed_change'), 1)

    def test_current_items_leave_no_trace(self) -> None:
        """Guards against alarms in normal operation."""
        self.table.merge([create_item('op/config', 2, b'old')])
        self.table.mark_complete_to(Position(0, 2))
        self._read('')
        anyio.run(self._pull)
        self.assertEqual(self._list_counted(), [])

    def test_older_item_with_the_same_content_leaves_no_trace(self) -> None:
        """Guards against alarms about a delayed answer."""
        self.table.merge([create_item('op/config', 9, b'{}')])
        self._read('')
        anyio.run(self._pull)
        self.assertEqual(self._list_counted(), [])

    def _read(self, event: str) -> dict[str, Any]:
        """Read the store for some seconds; return the fields of an event."""
        with logbook.TestHandler() as handler:
            run_in_virtual_time(self._run_reader)
        return _find(handler, event)

    async def _run_reader(self) -> None:
        store = FakeStore()
        store.revision = 9
        reader = StoreReader(
            store,
            self.table,
            FreshnessLease(anyio.current_time),
            ReaderRole(int, lambda: 1, is_seed=True),
            params=ReaderParameters(proof_prefix='op/'),
            logger=create_logger('test'),
            metrics=self.metrics,
        )
        with anyio.move_on_after(4):
            await reader.run()

    async def _pull(self) -> None:
        peer = ItemTable()
        peer.merge([create_item('op/config', 3, b'{}')])
        lease = FreshnessLease(read_boot_clock)
        body = TableServer(peer, lease).answer(0)
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        puller = TablePuller(
            self.table, lease, create_logger('test'), self.metrics
        )
        server = ScriptedServer([head + body], len(head + body))
        async with server.listen() as port:
            await puller.pull(
                'a', Endpoint(address='127.0.0.1', port=port), is_repair=False
            )
        self.assertEqual(self.metrics.counts_by_key[('pull', 'answered')], 1)

    def _count(self, name: str) -> int:
        return self.metrics.counts_by_key[('table', name)]

    def _list_counted(self) -> list[tuple[str, ...]]:
        return [key for key in self.metrics.counts_by_key if key[0] == 'table']


def _find(handler: logbook.TestHandler, event: str) -> dict[str, Any]:
    """Return the fields of the first line of an event."""
    for record in handler.records:
        if record.message == event:
            fields: dict[str, Any] = record.extra['fields']
            return fields
    return {}
