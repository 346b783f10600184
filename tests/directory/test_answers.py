"""Tests of which VM addresses are in directory answers."""

import random
import unittest

from jacinthcart.directory import (
    DirectoryParameters,
    choose_addresses,
    estimate_capacity,
)
from tests.support import create_member

_DATA_CENTRE_BY_ADDRESS = {
    '10.0.0.1': 'a',
    '10.0.0.2': 'a',
    '10.0.0.3': 'b',
    '10.0.0.4': 'b',
    '10.0.0.5': 'd',
}
_EVEN = {'a': 1.0, 'b': 1.0, 'd': 1.0}


def choose(
    caller_data_centre: str,
    coverage: dict[str, float],
    without: tuple[str, ...] = (),
) -> set[str]:
    """Return the addresses in the answer to a caller in a data centre."""
    members = [
        create_member(
            address,
            data_centre=name,
        )
        for address, name in _DATA_CENTRE_BY_ADDRESS.items()
        if address not in without
    ]
    source = random.Random(1)
    params = DirectoryParameters(min_addresses=2)
    return set(
        choose_addresses(members, caller_data_centre, coverage, source, params)
    )


class ChooseAddressesTests(unittest.TestCase):
    """Answers prefer local VMs and data centres with enough searchers."""

    def test_vms_of_the_callers_data_centre_are_advertised(self) -> None:
        """Guards against charged traffic between data centres."""
        self.assertEqual(choose('a', _EVEN), {'10.0.0.1', '10.0.0.2'})

    def test_short_answer_is_filled(self) -> None:
        """A caller that knows only one VM can't fail over."""
        advertised = choose('d', _EVEN)
        self.assertIn('10.0.0.5', advertised)
        self.assertEqual(len(advertised), 2)

    def test_data_centre_without_searchers_is_not_advertised(self) -> None:
        """Guards against shard requests that all cross data centres."""
        advertised = choose('d', {'a': 1.0, 'b': 1.0, 'd': 0.0})
        self.assertNotIn('10.0.0.5', advertised)
        self.assertEqual(len(advertised), 4)

    def test_slightly_better_data_centre_gets_no_other_callers(self) -> None:
        """Guards against directing all callers to one data centre.

        Queues would build up at its VMs and searchers.
        """
        advertised = choose('a', {'a': 0.55, 'b': 0.9, 'd': 0.6})
        self.assertEqual(advertised, {'10.0.0.1', '10.0.0.2'})

    def test_unknown_data_centre_gets_any_vm(self) -> None:
        """Callers outside the known data centres must be served, too."""
        self.assertTrue(choose('x', _EVEN))

    def test_strongest_vms_of_a_large_data_centre_are_advertised(self) -> None:
        """A VM with a slow link is slow on queries over many shards."""
        members = [
            create_member(
                f'10.0.1.{number}',
                data_centre='a',
                capacity=estimate_capacity(1 + number / 20, 10 * number),
            )
            for number in range(1, 21)
        ]
        advertised = choose_addresses(
            members,
            'a',
            {},
            random.Random(1),
            DirectoryParameters(),
        )
        self.assertEqual(
            set(advertised),
            {f'10.0.1.{number}' for number in range(17, 21)},
        )

    def test_lost_data_centre_is_replaced(self) -> None:
        """Callers in a data centre without VMs get VMs of the others."""
        advertised = choose('a', _EVEN, ('10.0.0.1', '10.0.0.2'))
        self.assertTrue(advertised)
