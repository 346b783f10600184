"""Tests of the evidence behind serving leases."""

import unittest

from jacinthcart.errors import InvalidMessageError
from jacinthcart.membership import (
    FreshnessReason,
    SettingsFreshness,
    compute_age_step,
    decode_datagram,
    pack_ages,
    select_peers,
    unpack_ages,
)

ROSTER = ('a', 'b', 'c', 'd', 'e')
ISOLATION_S = 2.5


class CurrencyTest(unittest.TestCase):
    """Evidence counts for what it proves and no longer."""

    def setUp(self) -> None:
        """Hold revision 5 at 100 s."""
        self.now = 100.0
        self.currency = SettingsFreshness('a', ISOLATION_S, lambda: self.now)
        self.currency.configure(ISOLATION_S, ROSTER)
        self.currency.record_held_revision(5)

    def test_contact_expires(self) -> None:
        """Guards against serving on an old contact."""
        self.currency.record_service_contact(100, 5)
        self.now = 102.5
        self.assertTrue(self.currency.is_current)
        self.now = 102.6
        self.assertFalse(self.currency.is_current)

    def test_contact_at_an_unknown_revision_waits_for_the_pull(self) -> None:
        """Guards against a peer's contact standing for settings not held."""
        self.currency.record_peer_ack(100, 6, 0, {'b': 0})
        self.assertFalse(self.currency.is_current)
        self.currency.record_held_revision(6)
        self.assertTrue(self.currency.is_current)

    def test_service_behind_a_peer_is_no_contact(self) -> None:
        """Guards against a stale service keeping a VM in service."""
        self.currency.record_peer_ack(100, 6, None, {'b': 0})
        self.currency.record_service_contact(100, 5)
        self.assertFalse(self.currency.is_current)

    def test_half_of_an_even_roster_is_no_majority(self) -> None:
        """Guards against two halves of a split both going on."""
        self.currency.configure(ISOLATION_S, ROSTER[:4])
        self.currency.record_peer_ack(100, 5, None, {'b': 0, 'e': 0})
        self.assertFalse(self.currency.is_current)
        self.currency.record_peer_ack(100, 5, None, {'c': 0})
        self.assertIs(self.currency.reason, FreshnessReason.MAJORITY)

    def test_age_grows_over_hops(self) -> None:
        """Guards against VMs refreshing each other's old contact."""
        self.currency.record_peer_ack(99, 5, 1, {'b': 0})
        self.now = 100.6
        self.assertFalse(self.currency.is_current)


class AgesTest(unittest.TestCase):
    """Packed ages are never younger than the true ones."""

    def test_ages_are_rounded_up(self) -> None:
        """Guards against evidence that grows younger over hops."""
        step_ms = compute_age_step(ISOLATION_S)
        ages = {'a': 0, 'b': 0.3, 'c': 2.4, 'd': 2.6}
        text = pack_ages(ROSTER, ages, step_ms)
        read = unpack_ages(ROSTER, text, step_ms)
        self.assertEqual(read['a'], 0)
        for vm_id in ('b', 'c'):
            self.assertGreaterEqual(read[vm_id], ages[vm_id])
        self.assertNotIn('e', read)

    def test_short_table_is_rejected(self) -> None:
        """Guards against a foreign table shifting the VMs."""
        text = pack_ages(ROSTER[:2], {}, 1)
        with self.assertRaises(InvalidMessageError):
            unpack_ages(ROSTER, text, 1)


class RingTest(unittest.TestCase):
    """News needs few hops."""

    def test_small_roster_gives_all_others(self) -> None:
        """Guards against a fleet of 8 that relays."""
        peers = select_peers('a', ROSTER, 8)
        self.assertEqual(sorted(peers), ['b', 'c', 'd', 'e'])

    def test_530_vms_are_within_ten_hops(self) -> None:
        """Guards against a spread that takes a hop for each few VMs."""
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
