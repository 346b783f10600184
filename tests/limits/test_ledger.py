"""Tests of shares, handover and loans of one VM."""

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

#: Seconds that fill a bucket of any test.
LONG = 60.0
#: Permit lifetime in seconds of the usual view.
LIFETIME = 0.1


class HandoverTest(unittest.TestCase):
    """Shares of two rosters never add up to more than the rate."""

    def setUp(self) -> None:
        """Run a VM on a roster of eight with full buckets."""
        self.clock = ManualClock()
        self.ledger = create_ledger(self.clock)
        self.ledger.apply_settings(create_view())
        self.clock.now += LONG

    def test_process_started_on_an_old_roster_does_not_wait(self) -> None:
        """Guards against a fleet that serves nothing after a restart."""
        self.assertEqual(count_granted(self.ledger), 45)

    def test_started_process_waits_for_its_share(self) -> None:
        """Guards against a restart within a handover that skips the wait."""
        ledger = create_waiting_ledger(self.clock)
        ledger.apply_settings(create_view())
        self.clock.now += 29.9
        self.assertEqual(count_granted(ledger), 0)
        self.clock.now += LONG
        self.assertEqual(count_granted(ledger), 45)

    def test_started_process_waits_for_the_rest_of_a_handover(self) -> None:
        """Guards against an age that ends the wait too early."""
        ledger = create_waiting_ledger(self.clock)
        ledger.apply_settings(create_view())
        ledger.record_roster_activation(self.clock.now - 20)
        self.clock.now += 9.9
        self.assertEqual(count_granted(ledger), 0)
        self.clock.now += LONG
        self.assertEqual(count_granted(ledger), 45)

    def test_larger_share_waits(self) -> None:
        """Guards against a new share used while its former owner has it."""
        self.ledger.apply_settings(create_view(vm_ids=VMS[:2]))
        self.clock.now += 29
        self.assertEqual(count_granted(self.ledger), 45)
        self.clock.now += LONG
        self.assertEqual(count_granted(self.ledger), 180)

    def test_smaller_share_applies_at_once(self) -> None:
        """Guards against a share kept after a revision took it."""
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
    """Permits of former settings count against the new ones."""

    def test_raised_rate_refills_after_older_permits_expired(self) -> None:
        """Guards against two bursts at once when a rate is raised.

        At rate 1 a permit lives 250 ms; at rate 400 the bucket would be
        full again within that time.
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

    def test_started_process_waits_for_its_predecessors_permits(self) -> None:
        """Guards against a restart together with a raised rate."""
        clock = ManualClock()
        ledger = create_ledger(clock)
        ledger.apply_settings(create_view(4000, 4000))
        clock.now += 0.24
        self.assertEqual(count_granted(ledger), 0)


class LoanTest(unittest.TestCase):
    """Tokens are lent once and expire on time."""

    def setUp(self) -> None:
        """Run a VM with a full bucket of 45 tokens."""
        self.clock = ManualClock()
        self.ledger = create_ledger(self.clock)
        self.ledger.apply_settings(create_view())
        self.clock.now += LONG

    def test_lent_tokens_leave_the_bucket(self) -> None:
        """Guards against one token used on two VMs."""
        loan = self.ledger.lend({WORKSPACE: 40})[WORKSPACE]
        self.assertEqual(loan, Loan(40, LIFETIME * 1000))
        self.assertEqual(count_granted(self.ledger), 5)

    def test_local_demand_is_kept_back(self) -> None:
        """Guards against lending what local callers need next."""
        self.assertEqual(count_granted(self.ledger, 10), 10)
        self.assertEqual(self.ledger.lend({WORKSPACE: 99})[WORKSPACE].count, 25)

    def test_lifetime_counts_from_the_request(self) -> None:
        """Guards against a delayed reply that prolongs permits."""
        count_granted(self.ledger)
        sent_at = self.clock.now
        loan = {WORKSPACE: Loan(5, LIFETIME * 1000)}
        self.clock.now += LIFETIME * 0.9
        own = count_granted(self.ledger)
        self.ledger.receive_loan(loan, sent_at)
        self.clock.now += LIFETIME * 0.095
        self.assertLess(count_granted(self.ledger), 5)
        self.ledger.receive_loan(loan, sent_at)
        self.assertLess(count_granted(self.ledger), 5)
        self.assertEqual(own, 4)

    def test_nothing_is_lent_when_lending_is_off(self) -> None:
        """Guards against a switch that operators cannot rely on."""
        self.ledger.apply_settings(create_view(lending_enabled=False))
        self.assertEqual(self.ledger.lend({WORKSPACE: 1}), {})
        self.assertEqual(self.ledger.split({WORKSPACE: 1}), {})
