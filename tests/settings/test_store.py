"""Tests of revisions and units in the settings store."""

import unittest

from jacinthcart.settings import SettingsStore, SettingsValue

WORKSPACE = 'teams/voskovka/workspaces/praha'
KEYS = 'teams/voskovka/keys/praha'
DIGEST = 'a' * 64


def _workspace(rate: float) -> dict[str, float]:
    return {'rate': rate, 'burst': 10}


class SettingsStoreTest(unittest.TestCase):
    """Accepted values never revert; units are validated independently."""

    def setUp(self) -> None:
        """Start with one workspace at revision 5."""
        self.store = SettingsStore()
        self.store.apply({WORKSPACE: SettingsValue(5, _workspace(50))}, 5)

    def test_lower_revision_is_ignored(self) -> None:
        """Guards against a restarted config service reverting a change."""
        self.store.apply({WORKSPACE: SettingsValue(4, _workspace(40))}, 4)
        workspace = self.store.view.workspaces_by_id['voskovka/praha']
        self.assertEqual(workspace.rate, 50)
        self.assertEqual(self.store.revision, 5)

    def test_invalid_unit_keeps_its_last_valid_value(self) -> None:
        """Guards against an invalid value taking effect."""
        self.store.apply({WORKSPACE: SettingsValue(6, {'rate': -1})}, 6)
        workspace = self.store.view.workspaces_by_id['voskovka/praha']
        self.assertEqual(workspace.rate, 50)
        self.assertTrue(self.store.errors)

    def test_keys_take_effect_despite_an_invalid_unit(self) -> None:
        """Guards against a key revocation delayed by an unrelated error."""
        keys = {'sha256_digests': [DIGEST]}
        self.store.apply({KEYS: SettingsValue(6, keys)}, 6)
        self.assertIn(DIGEST, self.store.view.workspace_id_by_digest)
        self.store.apply(
            {
                KEYS: SettingsValue(7, {'sha256_digests': []}),
                WORKSPACE: SettingsValue(7, {'rate': -1}),
            },
            7,
        )
        self.assertNotIn(DIGEST, self.store.view.workspace_id_by_digest)

    def test_new_store_adopts_the_last_valid_value_of_a_peer(self) -> None:
        """Guards against a new VM without the settings of an invalid unit."""
        self.store.apply({WORKSPACE: SettingsValue(6, {'rate': -1})}, 6)
        fresh = SettingsStore()
        fresh.apply(
            self.store.export_after(0),
            self.store.revision,
            self.store.export_valid(),
        )
        self.assertIn('voskovka/praha', fresh.view.workspaces_by_id)
