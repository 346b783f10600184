"""Tests for shares, handovers and loans of one VM."""

import unittest

from jacinthcart.limits import Loan
from tests.limits.fixtures import (
    VMS,
    WORKSPACE,
    ManualClock,
    count_granted,
    create_ledger,
    create_view,
    create_waiting_ledger,
)

#: Seconds in which any bucket of these tests is refilled completely.
FILL_S = 60.0
#: Permit lifetime in seconds under the default view.
LIFETIME_S = 0.1


class HandoverTest(unittest.TestCase):
    """Shares under two rosters never exceed the rate in total."""

    def setUp(self) -> None:
        """Create a VM with full buckets in a roster of eight."""
        self.clock = ManualClock()
        self.ledger = create_ledger(self.clock)
        self.ledger.apply_settings(create_view())
        self.clock.now += FILL_S

    def test_process_started_on_an_old_roster_does_not_wait(self) -> None:
        """Guards against a fleet that grants nothing after a restart."""
        self.assertEqual(count_granted(self.ledger), 45)

    def test_started_process_waits_for_its_share(self) -> None:
        """Guards against a restart that skips the wait of a handover."""
        ledger = create_waiting_ledger(self.clock)
        ledger.apply_settings(create_view())
        self.clock.now += 29.9
        self.assertEqual(count_granted(ledger), 0)
        self.clock.now += FILL_S
        self.assertEqual(count_granted(ledger), 45)

    def test_started_process_waits_for_the_rest_of_a_handover(self) -> None:
        """Guards against a roster age that ends the wait too early."""
        ledger = create_waiting_ledger(self.clock)
        ledger.apply_settings(create_view())
        ledger.record_roster_activation(self.clock.now - 20)
        self.clock.now += 9.9
        self.assertEqual(count_granted(ledger), 0)
        self.clock.now += FILL_S
        self.assertEqual(count_granted(ledger), 45)

    def test_larger_share_waits(self) -> None:
        """Guards against a share that old and new owner use at once."""
        self.ledger.apply_settings(create_view(vm_ids=VMS[:2]))
        self.clock.now += 29
        self.assertEqual(count_granted(self.ledger), 45)
        self.clock.now += FILL_S
        self.assertEqual(count_granted(self.ledger), 180)

    def test_smaller_share_applies_at_once(self) -> None:
        """Guards against use of the larger share after it was reduced."""
        more = [*VMS, *(f'vm-{number}' for number in range(8, 16))]
        view = create_view(vm_ids=more, share_spread=16)
        self.ledger.apply_settings(view)
        self.assertEqual(count_granted(self.ledger), 22)

    def test_lost_share_applies_at_once_and_returns_late(self) -> None:
        """Guards against a VM that leaves and rejoins within a handover."""
        self.ledger.apply_settings(create_view(vm_ids=VMS[1:]))
        self.assertEqual(count_granted(self.ledger), 0)
        self.ledger.apply_settings(create_view())
        self.clock.now += 29
        self.assertEqual(count_granted(self.ledger), 0)

    def test_workspace_new_within_a_handover_waits(self) -> None:
        """Guards against a new workspace that skips the handover."""
        ledger = create_ledger(self.clock)
        other = create_view(vm_ids=VMS[1:])
        other.workspaces_by_id.clear()
        ledger.apply_settings(other)
        ledger.apply_settings(create_view())
        self.clock.now += 29
        self.assertEqual(count_granted(ledger), 0)


class ChangedRateTest(unittest.TestCase):
    """Permits of earlier settings count against the new limits."""

    def test_raised_rate_refills_after_older_permits_expired(self) -> None:
        """Guards against two concurrent bursts when a rate is raised.

        At rate 1 the permit lifetime is 250 ms; at rate 400 the bucket would
        be refilled within that time.
        """
        clock = ManualClock()
        ledger = create_ledger(clock)
        ledger.apply_settings(create_view(1, 100))
        clock.now += 1000
        self.assertEqual(count_granted(ledger), 12)
        ledger.apply_settings(create_view(400, 100))
        clock.now += 0.24
        self.assertEqual(count_granted(ledger), 0)
        clock.now += 1
        self.assertEqual(count_granted(ledger), 11)

    def test_started_process_waits_for_permits_of_previous_run(self) -> None:
        """Guards against excess tokens after a restart and a raised rate."""
        clock = ManualClock()
        ledger = create_ledger(clock)
        ledger.apply_settings(create_view(4000, 4000))
        clock.now += 0.24
        self.assertEqual(count_granted(ledger), 0)


class LoanTest(unittest.TestCase):
    """Tokens are lent at most once and expire on time."""

    def setUp(self) -> None:
        """Create a VM with a full bucket of 45 tokens."""
        self.clock = ManualClock()
        self.ledger = create_ledger(self.clock)
        self.ledger.apply_settings(create_view())
        self.clock.now += FILL_S

    def test_lent_tokens_leave_the_bucket(self) -> None:
        """Guards against a token that is used on two VMs."""
        loan = self.ledger.lend({WORKSPACE: 40})[WORKSPACE]
        self.assertEqual(loan, Loan(40, LIFETIME_S * 1000))
        self.assertEqual(count_granted(self.ledger), 5)

    def test_tokens_for_local_demand_are_reserved(self) -> None:
        """Guards against lending tokens that local callers need next."""
        self.assertEqual(count_granted(self.ledger, 10), 10)
        self.assertEqual(self.ledger.lend({WORKSPACE: 99})[WORKSPACE].count, 25)

    def test_lifetime_counts_from_the_request(self) -> None:
        """Guards against a delayed reply that extends permit lifetimes."""
        count_granted(self.ledger)
        sent_at = self.clock.now
        loan = {WORKSPACE: Loan(5, LIFETIME_S * 1000)}
        self.clock.now += LIFETIME_S * 0.9
        own = count_granted(self.ledger)
        self.ledger.receive_loan(loan, sent_at)
        self.clock.now += LIFETIME_S * 0.095
        self.assertLess(count_granted(self.ledger), 5)
        self.ledger.receive_loan(loan, sent_at)
        self.assertLess(count_granted(self.ledger), 5)
        self.assertEqual(own, 4)

    def test_nothing_is_lent_when_lending_is_off(self) -> None:
        """Guards against a `lending_enabled` setting without effect."""
        self.ledger.apply_settings(create_view(lending_enabled=False))
        self.assertEqual(self.ledger.lend({WORKSPACE: 1}), {})
        self.assertEqual(self.ledger.split({WORKSPACE: 1}), {})
