"""Tests of which VMs callers are told to use."""

import random
import unittest

from jacinthcart.directory import (
    DirectoryParameters,
    choose_addresses,
    estimate_capacity,
)
from tests.support import create_member

_ZONE_BY_ADDRESS = {
    '10.0.0.1': 'a',
    '10.0.0.2': 'a',
    '10.0.0.3': 'b',
    '10.0.0.4': 'b',
    '10.0.0.5': 'd',
}
_EVEN = {'a': 1.0, 'b': 1.0, 'd': 1.0}


def choose(
    zone: str,
    coverage: dict[str, float],
    without: tuple[str, ...] = (),
) -> set[str]:
    """Return the addresses named to a caller of a data centre."""
    members = [
        create_member(
            address,
            data_centre=found,
        )
        for address, found in _ZONE_BY_ADDRESS.items()
        if address not in without
    ]
    source = random.Random(1)
    terms = DirectoryParameters(least=2)
    return set(choose_addresses(members, zone, coverage, source, terms))


class ChooseAddressesTests(unittest.TestCase):
    """Near VMs first, and next to the searchers that are needed."""

    def test_vms_of_the_callers_data_centre_are_named(self) -> None:
        """Traffic between data centres is priced."""
        self.assertEqual(choose('a', _EVEN), {'10.0.0.1', '10.0.0.2'})

    def test_short_answer_is_filled(self) -> None:
        """A caller that knows one VM has nowhere to go when it fails."""
        named = choose('d', _EVEN)
        self.assertIn('10.0.0.5', named)
        self.assertEqual(len(named), 2)

    def test_data_centre_without_shards_is_passed_over(self) -> None:
        """Otherwise each part of each answer crosses data centres."""
        named = choose('d', {'a': 1.0, 'b': 1.0, 'd': 0.0})
        self.assertNotIn('10.0.0.5', named)
        self.assertEqual(len(named), 4)

    def test_somewhat_better_data_centre_gets_no_others(self) -> None:
        """All callers at the VMs of one data centre make queues there."""
        named = choose('a', {'a': 0.55, 'b': 0.9, 'd': 0.6})
        self.assertEqual(named, {'10.0.0.1', '10.0.0.2'})

    def test_unknown_data_centre_gets_any_vm(self) -> None:
        """A caller from elsewhere must be served too."""
        self.assertTrue(choose('x', _EVEN))

    def test_strongest_vms_of_a_large_data_centre_are_named(self) -> None:
        """A thin link makes each query over many shards slow."""
        members = [
            create_member(
                f'10.0.1.{number}',
                data_centre='a',
                capacity=estimate_capacity(1 + number / 20, 10 * number),
            )
            for number in range(1, 21)
        ]
        named = choose_addresses(
            members,
            'a',
            {},
            random.Random(1),
            DirectoryParameters(),
        )
        self.assertEqual(
            set(named),
            {f'10.0.1.{number}' for number in range(17, 21)},
        )

    def test_lost_data_centre_is_replaced(self) -> None:
        """Callers of a data centre without VMs go to the others."""
        named = choose('a', _EVEN, ('10.0.0.1', '10.0.0.2'))
        self.assertTrue(named)
