"""Tests of the member table."""

import unittest

from jacinthcart.fleet import (
    DiscoveryParameters,
    MemberParameters,
    MemberState,
    MemberTable,
)
from jacinthcart.telemetry import create_logger
from tests.support import ManualClock, create_member


class MemberTableTests(unittest.TestCase):
    """A higher incarnation wins, then a later state."""

    def setUp(self) -> None:
        """Create the table of one VM whose start-up time is over."""
        self.clock = ManualClock()
        self.members = MemberTable(
            create_member('10.0.0.1'),
            self.clock,
            create_logger('test'),
            MemberParameters(),
        )
        self.clock.advance(10)

    def test_suspected_member_is_not_alive_but_counted(self) -> None:
        """A VM that is cut off may still use its share of a limit."""
        self.members.merge(create_member('10.0.0.2'))
        self.members.suspect('10.0.0.2')
        self.assertEqual(len(self.members.list_alive()), 1)
        self.assertEqual(self.members.estimate_member_count(), 2)
        self.assertEqual(self.members.alive_fraction, 0.5)

    def test_suspected_member_is_removed_after_the_timeout(self) -> None:
        """A failed VM's share of a limit must become available again."""
        self.members.merge(create_member('10.0.0.2'))
        self.members.suspect('10.0.0.2')
        self.clock.advance(MemberParameters().removal_timeout_s + 1)
        self.members.remove_expired()
        self.assertEqual(self.members.estimate_member_count(), 1)

    def test_old_record_does_not_revive_a_suspected_member(self) -> None:
        """Guards against late and repeated records of one incarnation."""
        self.members.merge(create_member('10.0.0.2'))
        self.members.suspect('10.0.0.2')
        self.members.merge(create_member('10.0.0.2'))
        self.assertEqual(len(self.members.list_alive()), 1)

    def test_restart_revives_a_member(self) -> None:
        """Guards against ignoring a restart, which raises the incarnation."""
        self.members.merge(create_member('10.0.0.2'))
        self.members.suspect('10.0.0.2')
        self.members.merge(create_member('10.0.0.2', incarnation=2))
        self.assertEqual(len(self.members.list_alive()), 2)

    def test_false_suspicion_is_refuted(self) -> None:
        """A VM that was suspended must count as alive again."""
        self.members.merge(create_member('10.0.0.1', MemberState.SUSPECT))
        self.assertEqual(self.members.own.incarnation, 2)
        self.assertIs(self.members.own.state, MemberState.ALIVE)

    def test_start_after_a_backward_clock_step_is_not_ignored(self) -> None:
        """Guards against a low incarnation after the clock was set back."""
        self.members.merge(create_member('10.0.0.1', incarnation=50))
        self.assertEqual(self.members.own.incarnation, 51)

    def test_leaving_member_is_not_counted(self) -> None:
        """A VM in a graceful shutdown uses no share of a limit."""
        self.members.merge(create_member('10.0.0.2', MemberState.LEAVING))
        self.assertEqual(self.members.estimate_member_count(), 1)

    def test_new_process_assumes_other_members(self) -> None:
        """A process that knows no members yet must not use a whole limit."""
        members = MemberTable(
            create_member('10.0.0.1'),
            self.clock,
            create_logger('test'),
            MemberParameters(),
        )
        self.assertEqual(members.estimate_member_count(), 8)

    def test_incomplete_list_is_not_taken_for_the_whole_fleet(self) -> None:
        """Guards against new processes that each grant a whole limit."""
        members = MemberTable(
            create_member('10.0.0.1'),
            self.clock,
            create_logger('test'),
            MemberParameters(),
        )
        self.clock.advance(4)
        for number in range(2, 31):
            members.merge(create_member(f'10.0.0.{number}'))
        self.assertLess(members.alive_fraction, 0.5)
        self.clock.advance(DiscoveryParameters().stable_s)
        self.assertEqual(members.alive_fraction, 1)
