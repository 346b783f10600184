"""Tests of the copy of the store."""

import itertools
import unittest

from jacinthcart.readings import (
    BaseContentVersions,
    Item,
    ItemTable,
    Position,
)
from tests.support import create_item


class ItemTableTests(unittest.TestCase):
    """Merging in any order gives the highest revision of each key."""

    def test_older_revision_does_not_replace_newer(self) -> None:
        """A late read must not restore a revoked API key."""
        table = ItemTable()
        table.merge([create_item('op/config', 7, b'new')])
        table.merge([create_item('op/config', 5, b'old')])
        self.assertEqual(table.list_existing('op/')[0].content, b'new')

    def test_removed_key_stays_removed_for_older_copies(self) -> None:
        """A lagging peer must not restore a removed searcher."""
        table = ItemTable()
        table.merge([create_item('servers/a', 5, b'a')])
        table.merge([create_item('servers/a', 8, None)])
        table.merge([create_item('servers/a', 5, b'a')])
        self.assertEqual(table.list_existing('servers/'), [])

    def test_complete_read_removes_missing_keys(self) -> None:
        """A full read finds removals that no watch reported."""
        table = ItemTable()
        table.merge(
            [
                create_item('servers/a', 5, b'a'),
                create_item('servers/b', 6, b'b'),
            ]
        )
        table.replace_prefix(
            'servers/', [create_item('servers/b', 6, b'b')], Position(0, 9)
        )
        present = [item.key for item in table.list_existing('servers/')]
        self.assertEqual(present, ['servers/b'])

    def test_complete_read_keeps_keys_that_changed_later(self) -> None:
        """A delayed read must not remove items that are newer than it."""
        table = ItemTable()
        table.merge([create_item('servers/a', 12, b'a')])
        table.replace_prefix('servers/', [], Position(0, 9))
        self.assertEqual(len(table.list_existing('servers/')), 1)

    def test_read_of_a_prefix_leaves_other_keys(self) -> None:
        """A read of the configuration says nothing about searchers."""
        table = ItemTable()
        table.merge([create_item('servers/a', 5, b'a')])
        table.replace_prefix('op/', [], Position(0, 9))
        self.assertEqual(len(table.list_existing('servers/')), 1)

    def test_peer_gets_only_what_changed_since_its_revision(self) -> None:
        """Full tables for each new peer saturated the links at start-up."""
        table = ItemTable()
        table.merge(
            [
                create_item('servers/a', 5, b'a'),
                create_item('servers/b', 6, b'b'),
            ]
        )
        table.mark_complete_to(Position(0, 6))
        changes = table.list_changes(Position(0, 5))
        self.assertEqual([item.key for item in changes.items], ['servers/b'])
        self.assertEqual(changes.complete_to, Position(0, 6))

    def test_revision_includes_items_beyond_the_complete_part(self) -> None:
        """Guards against a peer whose proof covers items that it lacks."""
        table = ItemTable()
        table.mark_complete_to(Position(0, 6))
        table.merge([create_item('op/config', 9, b'{}')])
        self.assertEqual(table.newest, Position(0, 9))
        self.assertEqual(table.complete_to, Position(0, 6))


class NumberVersions(BaseContentVersions):
    """Contents that are numbers are their own versions."""

    def is_older(self, key: str, content: bytes, other: bytes) -> bool:
        """Compare numbers; other contents tell no order."""
        if content.isdigit() and other.isdigit():
            return int(content) < int(other)
        return False


class StoreReturnTests(unittest.TestCase):
    """The store comes back from an older copy."""

    def setUp(self) -> None:
        """Create a table of era 0 that is complete to revision 9."""
        self.table = ItemTable('op/', NumberVersions())
        self.table.merge(
            [
                create_item('op/config', 9, b'121'),
                create_item('servers/a', 7, b'x'),
            ]
        )
        self.table.mark_complete_to(Position(0, 9))

    def test_write_after_a_return_replaces_a_higher_revision(self) -> None:
        """Guards against an old configuration that no write replaces."""
        self.table.merge([create_item('op/config', 4, b'130', era=1)])
        self.assertEqual(self._get_content('op/config'), b'130')

    def test_peer_before_the_return_gets_every_item(self) -> None:
        """Guards against peers that wait for revisions given out again."""
        self.table.replace_prefix(
            '',
            [
                create_item('op/config', 3, b'130', era=1),
                create_item('servers/a', 2, b'x', era=1),
            ],
            Position(1, 4),
        )
        changes = self.table.list_changes(Position(0, 9))
        self.assertEqual(len(changes.items), 2)

    def test_older_version_in_the_copy_replaces_nothing(self) -> None:
        """Guards against withdrawn keys that a returned store lists again."""
        copy = [create_item('op/config', 5, b'100', era=1)]
        self.table.replace_prefix('op/', copy, Position(1, 5))
        self.assertEqual(self._get_content('op/config'), b'121')
        self.table.merge([create_item('op/config', 6, b'110', era=1)])
        self.assertEqual(self._get_content('op/config'), b'121')
        self.table.merge([create_item('op/config', 7, b'0121', era=1)])
        self.assertEqual(self._get_content('op/config'), b'0121')

    def test_kept_version_reaches_a_vm_that_read_the_copy(self) -> None:
        """Guards against a new VM that stays on the version of the copy."""
        copy = create_item('op/config', 5, b'100', era=1)
        started = ItemTable('op/', NumberVersions())
        started.replace_prefix('', [copy], Position(1, 5))
        self.table.replace_prefix('', [copy], Position(1, 5))
        started.merge(self.table.list_changes(Position()).items)
        self.assertEqual(
            [one.content for one in started.list_existing('op/')], [b'121']
        )

    def test_merging_in_any_order_gives_the_same_items(self) -> None:
        """Guards against copies that differ by who pulled first."""
        contents = set()
        items = [
            create_item('op/config', 9, b'121'),
            create_item('op/config', 5, b'100', era=1),
            create_item('op/config', 6, b'110', era=1),
            create_item('op/config', 2, b'119', era=2),
        ]
        for order in itertools.permutations(items):
            table = ItemTable('op/', NumberVersions())
            for item in order:
                table.merge([item])
            found = table.list_existing('op/')[0]
            contents.add((found.content, found.position))
        self.assertEqual(contents, {(b'121', Position(2, 2))})

    def test_key_that_the_copy_lacks_is_missing_until_written(self) -> None:
        """Guards against taking a lost entry for a searcher that has left."""
        self._read_without_entries(4)
        self.assertTrue(self._is_missing('servers/a'))
        self._read_without_entries(5)
        self.assertTrue(self._is_missing('servers/a'))
        self.table.merge([create_item('servers/a', 6, b'x', era=1)])
        self.assertFalse(self._is_missing('servers/a'))

    def test_missing_key_is_reported_once(self) -> None:
        """Guards against lost entries that are used for good."""
        reported: list[Item] = []
        self.table.listeners.append(reported.extend)
        self._read_without_entries(4)
        self._read_without_entries(5)
        self.assertEqual([one.key for one in reported], ['servers/a'])

    def test_removal_after_a_return_ends_a_missing_key(self) -> None:
        """Guards against entries that stay although they were removed."""
        self._read_without_entries(4)
        self.table.merge([create_item('servers/a', 6, None, era=1)])
        self.assertEqual(self.table.list_existing('servers/'), [])

    def test_item_of_a_former_era_comes_as_missing(self) -> None:
        """Guards against a paused VM that brings back what was given up."""
        self._read_without_entries(9)
        self.table.merge([create_item('servers/b', 8, b'y')])
        self.assertTrue(self._is_missing('servers/b'))

    def test_missing_items_are_forgotten_for_good(self) -> None:
        """Guards against evacuations that end again on each new VM."""
        self._read_without_entries(9)
        self.table.forget_missing()
        self.assertIsNone(self.table.get('servers/a'))
        self.table.merge([create_item('servers/a', 7, b'x')])
        self.assertIsNone(self.table.get('servers/a'))

    def test_removal_before_a_return_stands(self) -> None:
        """Guards against a paused VM that undoes a removal."""
        self.table.merge([create_item('servers/a', 8, None)])
        self._read_without_entries(4)
        paused = create_item('servers/a', 7, b'x')
        self.table.merge([paused])
        self.assertIsNone(self._get_content('servers/a'))

    def test_unchanged_contents_are_not_reported(self) -> None:
        """Guards against decoding every document again after a return."""
        reported: list[Item] = []
        self.table.listeners.append(reported.extend)
        self.table.replace_prefix(
            'servers/',
            [create_item('servers/a', 7, b'x', era=1)],
            Position(1, 7),
        )
        self.assertEqual(reported, [])

    def _read_without_entries(self, revision: int) -> None:
        position = Position(1, revision)
        config = create_item('op/config', 3, b'121', era=1)
        self.table.replace_prefix('', [config], position)
        self.table.mark_complete_to(position, is_complete_read=True)

    def _is_missing(self, key: str) -> bool:
        return self.table.is_missing(self._get(key))

    def _get(self, key: str) -> Item:
        item = self.table.get(key)
        assert item is not None
        return item

    def _get_content(self, key: str) -> bytes | None:
        return self._get(key).content


class FullAnswerTests(unittest.TestCase):
    """A peer that may not know every removal sends all its items."""

    def setUp(self) -> None:
        """Create a table that is complete to revision 9, and a peer."""
        self.table = ItemTable('op/')
        self.table.merge(
            [
                create_item('op/evacuate/a', 4, b'{}'),
                create_item('servers/a', 5, b'x'),
            ]
        )
        self.table.mark_complete_to(Position(0, 9), is_complete_read=True)
        self.peer = ItemTable('op/')
        self.peer.merge([create_item('servers/b', 3, b'y')])
        self.peer.mark_complete_to(Position(0, 12), is_complete_read=True)

    def test_removal_that_the_peer_never_saw_reaches_a_vm(self) -> None:
        """Guards against evacuations and searchers that stay for good."""
        changes = self.peer.list_changes(self.table.complete_to)
        self.table.merge_changes(changes, is_proof_newer=True)
        keys = [one.key for one in self.table.list_existing('')]
        self.assertEqual(keys, ['servers/b'])
        self.assertEqual(self.table.complete_to, Position(0, 12))

    def test_peer_that_is_behind_removes_nothing(self) -> None:
        """Guards against losing keys to an older copy."""
        changes = self.table.list_changes(Position())
        self.peer.merge([create_item('op/evacuate/b', 13, b'{}')])
        self.peer.merge_changes(changes, is_proof_newer=True)
        keys = [one.key for one in self.peer.list_existing('')]
        self.assertEqual(keys, ['servers/b', 'op/evacuate/b'])

    def test_newer_proof_decides_between_copies_at_one_position(self) -> None:
        """Guards against copies that differ for good."""
        self.table.mark_complete_to(Position(0, 12))
        for is_newer, expected in ((False, 1), (True, 0)):
            changes = self.peer.list_changes(Position())
            self.table.merge_changes(changes, is_proof_newer=is_newer)
            existing = self.table.list_existing('op/')
            self.assertEqual(len(existing), expected)
        self.assertEqual(self.table.digest, self.peer.digest)

    def test_vm_within_the_history_gets_only_changes(self) -> None:
        """Guards against charged transfers of whole tables."""
        changes = self.peer.list_changes(Position(0, 12))
        self.assertEqual((changes.items, changes.is_full), ((), False))
