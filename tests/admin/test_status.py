"""Tests of the status that control reports to operators."""

import types
import unittest

from jacinthcart.control._status import find_set_aside, describe_path
from jacinthcart.settings import SettingsStore, SettingsValue
from tests.limits.fixtures import (
    WORKSPACE,
    ManualClock,
    create_ledger,
    create_view,
)

PATH = 'teams/team/workspaces/one'


class StatusTest(unittest.TestCase):
    """The status shows values in force, limits and searchers set aside."""

    def test_rejected_change_is_not_in_force(self) -> None:
        """Guards against a rejected value shown as in force."""
        store = SettingsStore()
        for revision, rate in ((1, 5), (2, -5)):
            change = SettingsValue(revision, {'rate': rate, 'burst': 9})
            store.apply({PATH: change}, revision)
        node = types.SimpleNamespace(state=types.SimpleNamespace(store=store))
        self.assertEqual(
            describe_path(node, PATH),
            {'newest': 2, 'in_force': 1},
        )
        self.assertEqual(
            describe_path(node, 'fleet/policy'),
            {'newest': None, 'in_force': None},
        )

    def test_limits_show_loans(self) -> None:
        """Guards against lent tokens missing from the status."""
        clock = ManualClock()
        ledger = create_ledger(clock)
        ledger.apply_settings(create_view())
        clock.now += 60
        before = ledger.describe()[WORKSPACE]
        ledger.lend({WORKSPACE: 10})
        after = ledger.describe()[WORKSPACE]
        self.assertEqual((before['share'], before['lent']), (0.125, 0))
        self.assertEqual(after['lent'], 10)
        self.assertEqual(before['level'] - after['level'], 10)

    def test_set_aside_searchers_are_those_of_own_parts(self) -> None:
        """Guards against listing searchers that other VMs own."""
        links = {
            'own': {'set_aside': '', 'is_failing': False},
            'foreign': {'set_aside': 'not_owner', 'is_failing': False},
            'out': {'set_aside': 'out_of_service', 'is_failing': False},
            'broken': {'set_aside': '', 'is_failing': True},
        }
        self.assertEqual(
            find_set_aside({'dispatcher': links}),
            {'out': 'out_of_service', 'broken': 'failing'},
        )
