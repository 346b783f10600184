"""Tests of the messages of the membership protocol."""

import unittest

from jacinthcart.errors import InvalidMessageError
from jacinthcart.fleet._messages import FleetMessage, decode_fleet_message
from jacinthcart.readings import Position
from tests.support import create_member


def _create_message(complete_to: int) -> FleetMessage:
    return FleetMessage(
        kind='ping',
        seq=1,
        sender=create_member('10.0.0.1'),
        newest=Position(0, 8),
        complete_to=Position(0, complete_to),
        age_s=0.5,
        digest='0a',
        described=None,
        records=(),
    )


class FleetMessageTests(unittest.TestCase):
    """A message is decoded as it was sent."""

    def test_incomplete_copy_is_described(self) -> None:
        """Guards against peers that take an incomplete copy as complete."""
        for complete_to in (5, 8):
            message = _create_message(complete_to)
            decoded = decode_fleet_message(message.to_message())
            self.assertEqual(decoded, message)

    def test_malformed_completeness_is_an_invalid_message(self) -> None:
        """Guards against an unexpected error for a malformed message."""
        fields = _create_message(5).to_message()
        with self.assertRaises(InvalidMessageError):
            decode_fleet_message({**fields, 'c': 'x'})
