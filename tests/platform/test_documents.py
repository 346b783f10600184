"""Tests of decoding configuration documents and searcher entries."""

import unittest
from typing import Any

import logbook

from jacinthcart.catalogue import CatalogueState, SearcherState, find_route
from jacinthcart.errors import InvalidMessageError
from jacinthcart.platform._catalogue_updater import CatalogueUpdater
from jacinthcart.platform._documents import decode_catalogue, decode_searcher
from jacinthcart.platform._document_versions import DocumentVersions
from jacinthcart.readings import ItemTable, Position
from jacinthcart.telemetry import create_logger
from jacinthcart.wire import encode_json
from tests.support import ManualClock, create_item


def create_document(**changes: Any) -> dict[str, Any]:
    """Return a configuration document with two routes of one host."""
    route = {
        'name': 'r1',
        'host': 'Shop.example',
        'prefix': '/a/',
        'route_type': 'idempotent',
        'timeout_ms': 500,
        'target_latency_ms': 56,
        'service': 's1',
    }
    longer = {
        **route,
        'name': 'r2',
        'prefix': '/a/b/',
        'route_type': 'non_idempotent',
        'service': None,
        'gather': ['s1', 's2'],
    }
    return {'version': 4, 'routes': [route, longer], **changes}


def create_entry(**changes: Any) -> bytes:
    """Return the entry of a searcher."""
    entry = {
        'service': 's1',
        'address': '10.0.0.9:80',
        'zone': 'a',
        'concurrency_limit': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 4,
        'born': 9,
    }
    return encode_json({**entry, **changes})


class DecodeCatalogueTests(unittest.TestCase):
    """Routes of a document are found by host and prefix."""

    def test_longest_prefix_is_found_first(self) -> None:
        """Guards against matching a shorter prefix that is listed first.

        Decoding sorts the routes by the length of their prefixes.
        """
        catalogue = decode_catalogue(encode_json(create_document()))
        route = find_route(catalogue, 'shop.example', '/a/b/c')
        assert route is not None
        self.assertEqual(route.shards, ('s1', 's2'))
        self.assertFalse(route.is_idempotent)

    def test_unknown_fields_are_ignored(self) -> None:
        """Guards against rejecting documents of a newer version."""
        document = create_document(new_field={'a': 1})
        self.assertEqual(decode_catalogue(encode_json(document)).version, 4)

    def test_unreadable_documents_are_errors(self) -> None:
        """A document of another form must not be used in part."""
        for content in (b'', b'\xff', b'[]', b'{"version": "x"}'):
            with self.assertRaises(InvalidMessageError):
                decode_catalogue(content)


class DecodeSearcherTests(unittest.TestCase):
    """Malformed entries must not result in a searcher."""

    def test_entry_is_decoded(self) -> None:
        """Address and port are parsed when the entry is decoded."""
        searcher = decode_searcher('i-1', create_entry())
        self.assertEqual((searcher.address, searcher.port), ('10.0.0.9', 80))

    def test_malformed_entries_are_errors(self) -> None:
        """Covers missing fields, other types and unknown states."""
        cases = (
            create_entry(state='asleep'),
            create_entry(address='nowhere'),
            create_entry(address=7),
            create_entry(sequence='4'),
            create_entry(born=1.5),
            create_entry(concurrency_limit=0),
            encode_json({'service': 's1'}),
            encode_json([1]),
            b'\x00\x01',
        )
        for content in cases:
            with self.assertRaises(InvalidMessageError):
                decode_searcher('i-1', content)


class OddEntryTests(unittest.TestCase):
    """One odd entry of another writer must not stop a VM."""

    def test_huge_numbers_are_errors(self) -> None:
        """Guards against an overflow in the cost of a searcher.

        It ended every request to a service with an entry of 10**400 slots.
        """
        for field in ('concurrency_limit', 'sequence', 'born'):
            with self.assertRaises(InvalidMessageError, msg=field):
                decode_searcher('i-1', _create_text_entry(field, '9' * 400))

    def test_endless_cold_start_is_an_error(self) -> None:
        """Guards against a searcher that is cold for good."""
        for text in ('1e400', '9' * 30, 'NaN', 'Infinity'):
            entry = _create_text_entry('warmup_left_ms', text)
            with self.assertRaises(InvalidMessageError, msg=text):
                decode_searcher('i-1', entry)

    def test_ports_out_of_range_are_errors(self) -> None:
        """Guards against an error when the connection is opened."""
        for port in ('0', '-1', '65536', '9' * 30, '8e1', ''):
            entry = create_entry(address=f'10.0.0.9:{port}')
            with self.assertRaises(InvalidMessageError, msg=port):
                decode_searcher('i-1', entry)

    def test_deeply_nested_entries_are_errors(self) -> None:
        """Guards against exhausting the stack."""
        for content in (b'[' * 200_000, b'{"a":' * 200_000):
            with self.assertRaises(InvalidMessageError):
                decode_searcher('i-1', content)

    def test_ids_that_do_not_fit_in_a_header_are_errors(self) -> None:
        """Guards against a key that adds a header to each request."""
        for searcher_id in ('', 'a b', 'a\r\nx-evil: 1', 'a\u00e9', 'a\x00'):
            with self.assertRaises(InvalidMessageError, msg=searcher_id):
                decode_searcher(searcher_id, create_entry())


def _create_text_entry(field: str, text: str) -> bytes:
    marker = 424242
    entry = create_entry(**{field: marker})
    return entry.replace(str(marker).encode(), text.encode())


class CatalogueUpdaterTests(unittest.TestCase):
    """An invalid item does not affect other items."""

    def setUp(self) -> None:
        """Connect a table and a catalogue."""
        logger = create_logger('test')
        self.table = ItemTable()
        self.state = CatalogueState(ManualClock(), logger)
        CatalogueUpdater(self.table, self.state, logger)

    def test_invalid_entry_does_not_affect_others(self) -> None:
        """Guards against an invalid entry blocking others of its change."""
        self.table.merge(
            [
                create_item('servers/bad', 5, b'{}'),
                create_item('servers/good', 6, create_entry()),
            ],
        )
        self.assertEqual(set(self.state.searchers_by_id), {'good'})

    def test_invalid_configuration_keeps_the_last_valid_one(self) -> None:
        """The configuration in force must remain in use."""
        document = encode_json(create_document())
        self.table.merge([create_item('op/config', 5, document)])
        self.table.merge([create_item('op/config', 6, b'{"version": 9}')])
        assert self.state.catalogue is not None
        self.assertEqual(self.state.catalogue.version, 4)

    def test_configuration_is_logged_with_its_revision(self) -> None:
        """Guards against an old configuration whose cause no line shows."""
        newest = encode_json(create_document())
        older = encode_json(create_document(version=3))
        with logbook.TestHandler() as handler:
            self.table.merge([create_item('op/config', 5, newest)])
            self.table.merge([create_item('op/config', 8, older)])
        logged = {
            record.message: record.extra['fields'].get('position')
            for record in handler.records
        }
        expected = {
            'configuration in force': '0.5',
            'older configuration ignored': '0.8',
        }
        self.assertEqual(logged, expected)

    def test_evacuation_ends_when_its_key_is_removed(self) -> None:
        """An evacuation lasts as long as its key exists."""
        self.table.merge([create_item('op/evacuate/a', 5, b'{}')])
        self.assertEqual(self.state.evacuated, {'a'})
        self.table.merge([create_item('op/evacuate/a', 7, None)])
        self.assertEqual(self.state.evacuated, frozenset())


class StoreReturnTests(unittest.TestCase):
    """The store comes back from an older copy."""

    def setUp(self) -> None:
        """Put a configuration in force, with a searcher and an evacuation."""
        logger = create_logger('test')
        self.clock = ManualClock()
        self.table = ItemTable('op/', DocumentVersions())
        self.state = CatalogueState(self.clock, logger)
        CatalogueUpdater(self.table, self.state, logger)
        self.config = encode_json(create_document(version=9))
        self.table.merge(
            [
                create_item('op/config', 5, self.config),
                create_item('op/evacuate/a', 6, b'{}'),
                create_item('servers/lost', 7, create_entry()),
                create_item(
                    'servers/leaving',
                    8,
                    create_entry(state='draining', sequence=8),
                ),
            ]
        )

    def test_searcher_without_an_entry_is_used_for_two_seconds(self) -> None:
        """Guards against losing searchers before they have written again."""
        self._come_back()
        self.assertIn('lost', self.state.searchers_by_id)
        self.clock.advance(2)
        self.state.remove_lapsed()
        self.assertNotIn('lost', self.state.searchers_by_id)

    def test_evacuation_without_a_key_stays_in_force(self) -> None:
        """Guards against requests to a data centre that is being taken out."""
        self._come_back()
        self.assertEqual(self.state.evacuated, {'a'})
        self.table.merge([create_item('op/evacuate/a', 5, None, era=1)])
        self.assertEqual(self.state.evacuated, frozenset())

    def test_earlier_entry_does_not_undo_leaving(self) -> None:
        """Guards against requests to a searcher that said it leaves."""
        self._come_back()
        leaving = self.state.searchers_by_id['leaving']
        self.assertEqual(leaving.state, SearcherState.DRAINING)

    def test_process_with_an_earlier_start_time_is_used(self) -> None:
        """Guards against refusing a live searcher for good.

        Its clock was set back before it started again, and the store came back
        in between.
        """
        self._come_back()
        entry = create_entry(born=5, sequence=1)
        self.table.merge([create_item('servers/lost', 5, entry, era=1)])
        self.clock.advance(4)
        self.state.accept_earlier_processes()
        self.assertEqual(self.state.searchers_by_id['lost'].born, 5)

    def test_earlier_configuration_is_neither_used_nor_logged(self) -> None:
        """Guards against a version that goes back."""
        with logbook.TestHandler() as handler:
            self._come_back()
        assert self.state.catalogue is not None
        self.assertEqual(self.state.catalogue.version, 9)
        messages = {record.message for record in handler.records}
        self.assertNotIn('configuration in force', messages)

    def _come_back(self) -> None:
        copy = [
            create_item('op/config', 2, encode_json(create_document()), era=1),
            create_item('servers/leaving', 3, create_entry(sequence=4), era=1),
        ]
        self.table.replace_prefix('', copy, Position(1, 4))
        self.table.mark_complete_to(Position(1, 4))
