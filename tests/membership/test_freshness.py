"""Tests of settings freshness, packed ages, peer selection and datagrams."""

import unittest

from jacinthcart.errors import InvalidMessageError
from jacinthcart.membership import (
    FreshnessReason,
    SettingsFreshness,
    compute_age_step_ms,
    decode_datagram,
    pack_ages,
    select_peers,
    unpack_ages,
)

ROSTER = ('a', 'b', 'c', 'd', 'e')
ISOLATION_S = 2.5


class FreshnessTest(unittest.TestCase):
    """A proof counts only within the isolation window."""

    def setUp(self) -> None:
        """Create the freshness of a VM that holds revision 5, at 100 s."""
        self.now = 100.0
        self.freshness = SettingsFreshness('a', ISOLATION_S, lambda: self.now)
        self.freshness.configure(ISOLATION_S, ROSTER)
        self.freshness.record_held_revision(5)

    def test_contact_expires(self) -> None:
        """Guards against serving after the contact has expired."""
        self.freshness.record_service_contact(100, 5)
        self.now = 102.5
        self.assertTrue(self.freshness.is_current)
        self.now = 102.6
        self.assertFalse(self.freshness.is_current)

    def test_contact_at_an_unknown_revision_waits_for_the_pull(self) -> None:
        """Guards against a peer's contact proving settings not yet held."""
        self.freshness.record_peer_ack(100, 6, 0, {'b': 0})
        self.assertFalse(self.freshness.is_current)
        self.freshness.record_held_revision(6)
        self.assertTrue(self.freshness.is_current)

    def test_service_behind_a_peer_is_no_contact(self) -> None:
        """Guards against serving because of a stale configuration service."""
        self.freshness.record_peer_ack(100, 6, None, {'b': 0})
        self.freshness.record_service_contact(100, 5)
        self.assertFalse(self.freshness.is_current)

    def test_half_of_an_even_roster_is_no_majority(self) -> None:
        """Guards against both halves of a partition continuing to serve."""
        self.freshness.configure(ISOLATION_S, ROSTER[:4])
        self.freshness.record_peer_ack(100, 5, None, {'b': 0, 'e': 0})
        self.assertFalse(self.freshness.is_current)
        self.freshness.record_peer_ack(100, 5, None, {'c': 0})
        self.assertIs(self.freshness.reason, FreshnessReason.MAJORITY)

    def test_age_grows_over_hops(self) -> None:
        """Guards against VMs renewing each other's expired contact."""
        self.freshness.record_peer_ack(99, 5, 1, {'b': 0})
        self.now = 100.6
        self.assertFalse(self.freshness.is_current)


class AgesTest(unittest.TestCase):
    """Packed ages are never lower than the actual ones."""

    def test_ages_are_rounded_up(self) -> None:
        """Guards against a proof whose age decreases over hops."""
        step_ms = compute_age_step_ms(ISOLATION_S)
        ages = {'a': 0, 'b': 0.3, 'c': 2.4, 'd': 2.6}
        text = pack_ages(ROSTER, ages, step_ms)
        read = unpack_ages(ROSTER, text, step_ms)
        self.assertEqual(read['a'], 0)
        for vm_id in ('b', 'c'):
            self.assertGreaterEqual(read[vm_id], ages[vm_id])
        self.assertNotIn('e', read)

    def test_short_table_is_rejected(self) -> None:
        """Guards against ages of another roster assigned to wrong VMs."""
        text = pack_ages(ROSTER[:2], {}, 1)
        with self.assertRaises(InvalidMessageError):
            unpack_ages(ROSTER, text, 1)


class RingTest(unittest.TestCase):
    """Updates reach all VMs in few hops."""

    def test_small_roster_gives_all_others(self) -> None:
        """Guards against relaying updates in a fleet of 8 VMs."""
        peers = select_peers('a', ROSTER, 8)
        self.assertEqual(sorted(peers), ['b', 'c', 'd', 'e'])

    def test_530_vms_are_within_ten_hops(self) -> None:
        """Guards against a hop count that grows linearly with the fleet."""
        roster = [f'vm{number:03}' for number in range(530)]
        reached = {'vm000'}
        for _ in range(10):
            reached.update(
                peer
                for vm_id in tuple(reached)
                for peer in select_peers(vm_id, roster, 8)
            )
        self.assertEqual(len(reached), 530)


class DatagramTest(unittest.TestCase):
    """Malformed datagrams are dropped."""

    def test_malformed_datagrams_raise_the_message_error(self) -> None:
        """Guards against a stray datagram ending the receive task."""
        for body in (b'', b'{', b'[]', b'\xff', b' ' * 1401):
            with self.assertRaises(InvalidMessageError):
                decode_datagram(body)
