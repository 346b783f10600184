"""Tests of the copy of the store."""

import unittest

from jacinthcart.readings import Item, ItemTable


class ItemTableTests(unittest.TestCase):
    """Merging in any order gives the highest revision of each key."""

    def test_older_revision_does_not_replace_newer(self) -> None:
        """A late read must not restore a revoked API key."""
        table = ItemTable()
        table.merge([Item('op/config', 7, b'new')])
        table.merge([Item('op/config', 5, b'old')])
        self.assertEqual(table.list_existing('op/')[0].content, b'new')

    def test_removed_key_stays_removed_for_older_copies(self) -> None:
        """A lagging peer must not restore a removed searcher."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a')])
        table.merge([Item('servers/a', 8, None)])
        table.merge([Item('servers/a', 5, b'a')])
        self.assertEqual(table.list_existing('servers/'), [])

    def test_complete_read_removes_missing_keys(self) -> None:
        """A full read finds removals that no watch reported."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a'), Item('servers/b', 6, b'b')])
        table.replace_prefix('servers/', [Item('servers/b', 6, b'b')], 9)
        present = [item.key for item in table.list_existing('servers/')]
        self.assertEqual(present, ['servers/b'])

    def test_complete_read_keeps_keys_that_changed_later(self) -> None:
        """A delayed read must not remove items that are newer than it."""
        table = ItemTable()
        table.merge([Item('servers/a', 12, b'a')])
        table.replace_prefix('servers/', [], 9)
        self.assertEqual(len(table.list_existing('servers/')), 1)

    def test_read_of_a_prefix_leaves_other_keys(self) -> None:
        """A read of the configuration says nothing about searchers."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a')])
        table.replace_prefix('op/', [], 9)
        self.assertEqual(len(table.list_existing('servers/')), 1)

    def test_peer_gets_only_what_changed_since_its_revision(self) -> None:
        """Full tables for each new peer saturated the links at start-up."""
        table = ItemTable()
        table.merge([Item('servers/a', 5, b'a'), Item('servers/b', 6, b'b')])
        table.mark_complete_to(6)
        changes = table.list_changes(5)
        self.assertEqual([item.key for item in changes.items], ['servers/b'])
        self.assertEqual(changes.complete_to, 6)

    def test_revision_includes_items_beyond_the_complete_part(self) -> None:
        """Guards against a peer whose proof covers items that it lacks."""
        table = ItemTable()
        table.mark_complete_to(6)
        table.merge([Item('op/config', 9, b'{}')])
        self.assertEqual(table.revision, 9)
        self.assertEqual(table.complete_to, 6)
