"""Tests of the copy of the store."""

import unittest

from jacinthcart.readings import Item, ItemTable


class ItemTableTests(unittest.TestCase):
    """Merging in any order gives the newest revision of each key."""

    def test_older_revision_does_not_replace_newer(self) -> None:
        """A late reading must not bring back a withdrawn key."""
        table = ItemTable()
        table.merge([Item('op/config', 7, b'new')])
        table.merge([Item('op/config', 5, b'old')])
        self.assertEqual(table.list_existing('op/')[0].content, b'new')

    def test_removed_key_stays_removed_for_older_copies(self) -> None:
        """A peer that lags must not bring back a searcher that is gone."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a')])
        table.merge([Item('servers/a', 8, None)])
        table.merge([Item('servers/a', 5, b'a')])
        self.assertEqual(table.list_existing('servers/'), [])

    def test_complete_reading_removes_missing_keys(self) -> None:
        """Removals that no watch told of are found by a full reading."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a'), Item('servers/b', 6, b'b')])
        table.replace_prefix('servers/', [Item('servers/b', 6, b'b')], 9)
        present = [item.key for item in table.list_existing('servers/')]
        self.assertEqual(present, ['servers/b'])

    def test_complete_reading_keeps_keys_that_changed_later(self) -> None:
        """A reading that waited must not remove what came after it."""
        table = ItemTable()
        table.merge([Item('servers/a', 12, b'a')])
        table.replace_prefix('servers/', [], 9)
        self.assertEqual(len(table.list_existing('servers/')), 1)

    def test_reading_below_a_prefix_leaves_other_keys(self) -> None:
        """The proof of the configuration says nothing about searchers."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a')])
        table.replace_prefix('op/', [], 9)
        self.assertEqual(len(table.list_existing('servers/')), 1)

    def test_peer_gets_only_what_changed_since_its_revision(self) -> None:
        """Whole tables for each new peer filled the links at the start."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a'), Item('servers/b', 6, b'b')])
        table.mark_complete_to(6)
        changes = table.list_changes(5)
        self.assertEqual([item.key for item in changes.items], ['servers/b'])
        self.assertEqual(changes.complete_to, 6)

    def test_item_beyond_the_complete_part_is_told(self) -> None:
        """A proof covers items that no watch has told of yet."""
        table = ItemTable()
        table.mark_complete_to(6)
        table.merge([Item('op/config', 9, b'{}')])
        self.assertEqual(table.revision, 9)
        self.assertEqual(table.complete_to, 6)
