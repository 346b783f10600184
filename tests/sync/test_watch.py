"""Tests of the watch on the configuration service."""

import random
import unittest

import anyio

from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.settings import SettingsStore, SettingsValue, build_view
from jacinthcart.sync import (
    Backoff,
    BasePlatform,
    WatchChanges,
    WatchLoop,
    compute_watch_interval,
    decode_watch_changes,
)
from jacinthcart.telemetry import Logger, Metrics
from tests.control._fleet import create_roster


class _Platform(BasePlatform):
    """Returns prepared answers."""

    def __init__(self, answers):
        self.answers = list(answers)

    async def watch(self, after, wait_s):
        """Return or raise the next answer."""
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def list_vms(self):
        """Return no VMs."""
        return {}


class WatchTest(unittest.TestCase):
    """Only current answers count as contacts with the service."""

    def setUp(self) -> None:
        """Create a store that holds revision 5."""
        self.store = SettingsStore()
        self.store.apply({'fleet/policy': SettingsValue(5, {})}, 5)
        self.metrics = Metrics()
        self.contacts: list[int] = []

    def _poll(self, answer):
        loop = WatchLoop(
            _Platform([answer]),
            self.store,
            lambda: 100,
            random.Random(1),
            self.metrics,
            Logger('test'),
        )
        loop.on_contact = lambda sent_at, revision: self.contacts.append(
            revision,
        )
        return anyio.run(loop.poll, 0, backend='trio')

    def test_stale_answer_is_counted_and_no_contact(self) -> None:
        """Guards against serving because of a stale configuration service."""
        delay_s = self._poll(WatchChanges(4, {}))
        self.assertEqual(self.contacts, [])
        self.assertEqual(self.metrics.counts_by_key['watch', 'stale'], 1)
        self.assertGreater(delay_s, 0)

    def test_failures_are_retried_after_a_delay(self) -> None:
        """Guards against a watch that ends on a failed or malformed answer."""
        for failure in (WireError('down'), InvalidMessageError('malformed')):
            self.assertGreater(self._poll(failure), 0)
        self.assertEqual(self.metrics.counts_by_key['watch', 'failed'], 2)

    def test_interval_keeps_the_calls_of_the_fleet_constant(self) -> None:
        """Guards against a call rate that grows with the fleet."""
        for vm_count, interval_s in ((8, 1), (530, 5.3)):
            view = build_view({'fleet/roster': create_roster(vm_count)}, 1)
            self.assertAlmostEqual(compute_watch_interval(view), interval_s)

    def test_delays_grow_to_a_bound_with_jitter(self) -> None:
        """Guards against synchronised calls of a fleet after an outage."""
        first, second = Backoff(random.Random(1)), Backoff(random.Random(2))
        delays = [(first.next_delay(), second.next_delay()) for _ in range(20)]
        self.assertLessEqual(max(map(max, delays)), 5)
        self.assertTrue(all(one != other for one, other in delays))


class DecodeTest(unittest.TestCase):
    """Malformed messages never reach the store."""

    def test_malformed_messages_are_rejected(self) -> None:
        """Guards against a watch that ends on a malformed answer."""
        for message in (None, [], {}, {'revision': True, 'values': {}}):
            with self.assertRaises(InvalidMessageError):
                decode_watch_changes(message)

    def test_malformed_entry_does_not_harm_the_others(self) -> None:
        """Guards against a malformed entry that blocks a revocation."""
        entries = {
            'good': {'revision': 1, 'value': None},
            'bad': {'revision': '1', 'value': 1},
            'short': {'revision': 1},
        }
        changes = decode_watch_changes({'revision': 1, 'values': entries})
        self.assertEqual(set(changes.values_by_path), {'good'})
        self.assertEqual(changes.rejected, 2)
