"""Tests of how a new process finds all members of the fleet."""

import random
import unittest

from jacinthcart.fleet import DiscoveryParameters, MemberParameters, MemberTable
from jacinthcart.fleet._anti_entropy import AntiEntropy, AntiEntropyParameters
from jacinthcart.fleet._member_log import MemberLog
from jacinthcart.fleet._messages import FleetMessage, MemberRecord
from jacinthcart.telemetry import create_logger
from tests.support import ManualClock, create_member

_SEEDS = ('10.0.0.1', '10.0.0.2')
_OWN = '10.0.0.9'
#: Members of a large deployment.
_LIST = 89


class AntiEntropyTests(unittest.TestCase):
    """One member in a round is asked for what it knows."""

    def setUp(self) -> None:
        """Create the state of a new process."""
        self.clock = ManualClock()
        self.params = AntiEntropyParameters()
        self.members = self._create_members(_OWN)
        self.anti_entropy = self._create_anti_entropy(self.members)

    def test_new_process_asks_seeds_and_others(self) -> None:
        """Seeds may be down, or as new as this process."""
        self.members.merge(create_member('10.0.0.5'))
        asked = {self.anti_entropy.choose_peer() for _ in range(30)}
        self.assertEqual(asked, {*_SEEDS, '10.0.0.5'})

    def test_other_members_are_not_asked_in_the_round(self) -> None:
        """Records in each message would cost bytes between data centres."""
        asked = self.anti_entropy.choose_peer()
        self.assertIsNotNone(self.anti_entropy.create_request_for(asked or ''))
        self.assertIsNone(self.anti_entropy.create_request_for('10.0.0.5'))

    def test_list_is_read_in_one_round_with_few_records_twice(self) -> None:
        """A list of 89 members took seconds, each record came many times."""
        sent, is_read = self._read(_LIST, _SEEDS[0])
        self.assertTrue(is_read)
        self.assertLessEqual(sent, 1.25 * _LIST)

    def test_few_missing_records_are_read_alone(self) -> None:
        """Whole lists of several members cost bytes between data centres."""
        for number in range(_LIST - 2):
            self.members.merge(create_member(f'10.0.1.{number}'))
        sent, is_read = self._read(_LIST, _SEEDS[0])
        self.assertTrue(is_read)
        self.assertLess(sent, 0.25 * _LIST)

    def test_same_lists_of_two_members_complete_the_list(self) -> None:
        """Allotments were cut down for a second after the last news."""
        self._read(_LIST, _SEEDS[0])
        self.assertTrue(self.anti_entropy.is_active)
        self._read(_LIST, _SEEDS[1])
        self.assertFalse(self.anti_entropy.is_active)
        self.members.merge(create_member('10.0.0.5'))
        self.assertTrue(self.anti_entropy.is_active)

    def test_answer_that_teaches_nothing_ends_the_questions(self) -> None:
        """A member that knows less would be asked without end."""
        records = [create_member(f'10.0.1.{one}') for one in range(20)]
        answer = _create_answer(_SEEDS[0], records[:10], 'other')
        self.assertTrue(
            self.anti_entropy.handle_answer(answer, has_learned=True)
        )
        self.assertFalse(
            self.anti_entropy.handle_answer(answer, has_learned=False)
        )

    def test_later_rounds_seldom_ask(self) -> None:
        """News that was lost must come in the end, at little cost."""
        self.clock.move(self.params.initial_sync_s + 1)
        asked = [self.anti_entropy.choose_peer() for _ in range(1000)]
        share = self.params.refresh_fraction
        self.assertLess(asked.count(None), 1000 * (1 - share / 2))
        self.assertGreater(asked.count(None), 1000 * (1 - share * 2))

    def test_process_without_seeds_asks_no_one(self) -> None:
        """The choice of a seed to ask ended a process that had none."""
        self.anti_entropy.seeds = ()
        self.assertIsNone(self.anti_entropy.choose_peer())

    def _create_members(self, address: str) -> MemberTable:
        return MemberTable(
            create_member(address),
            self.clock,
            create_logger('test'),
            MemberParameters(discovery=DiscoveryParameters(matching_lists=2)),
        )

    def _create_anti_entropy(self, members: MemberTable) -> AntiEntropy:
        return AntiEntropy(
            members, _SEEDS, self.clock, random.Random(1), self.params
        )

    def _read(self, count: int, address: str) -> tuple[int, bool]:
        """Read a member's list of `count` records; count what it sends."""
        other = self._create_members(address)
        for number in range(count):
            other.merge(create_member(f'10.0.1.{number}'))
        for seed in _SEEDS:
            other.merge(create_member(seed))
            self.members.merge(create_member(seed))
        other.merge(self.members.own)
        answers = self._create_anti_entropy(other)
        sent = 0
        is_on = True
        while is_on:
            described = self.members.log.describe(self.members.own)
            records, digest = answers.answer(described)
            sent += len(records)
            has_learned = any([self.members.merge(one) for one in records])
            is_on = self.anti_entropy.handle_answer(
                _create_answer(address, records, digest),
                has_learned=has_learned,
            )
        return sent, len(self.members.list_others()) >= count


class MemberLogTests(unittest.TestCase):
    """Lists of two VMs are compared part by part."""

    def setUp(self) -> None:
        """Create a log of three members."""
        self.log = MemberLog()
        for number in range(3):
            record = create_member(f'10.0.0.{number}')
            self.log.put(record, number, disseminate=number > 0)

    def test_changed_record_differs(self) -> None:
        """A reader must learn that a member it knows has stopped."""
        own = create_member(_OWN)
        described = self.log.describe(own)
        unchanged = self.log.list_differing_buckets(
            self.log.describe(own), described
        )
        self.assertEqual(unchanged, [])
        changed = create_member('10.0.0.0', incarnation=2)
        self.log.put(changed, 5, disseminate=True)
        unlike = self.log.list_differing_buckets(
            self.log.describe(own), described
        )
        self.assertIn(changed, [one for part in unlike for one in part])
        self.assertEqual(len(self.log.list_records()), 3)

    def test_unreadable_description_differs(self) -> None:
        """Another version of the program may describe its list otherwise."""
        described = self.log.describe(create_member(_OWN))
        unlike = self.log.list_differing_buckets(described, 'x')
        self.assertEqual(sum(len(part) for part in unlike), 3)

    def test_news_comes_newest_first(self) -> None:
        """A datagram has room for the newest only."""
        news = self.log.list_recent(since=0)
        self.assertEqual(
            [record.address for record in news],
            ['10.0.0.2', '10.0.0.1'],
        )

    def test_description_depends_on_the_records_alone(self) -> None:
        """Two VMs hear of the others in another order, and of themselves."""
        other = MemberLog()
        for number in (9, 2, 1):
            other.put(create_member(f'10.0.0.{number}'), 0, disseminate=False)
        other_own = create_member('10.0.0.0')
        self.assertEqual(
            other.describe(other_own),
            self.log.describe(create_member(_OWN)),
        )


def _create_answer(
    address: str,
    records: list[MemberRecord],
    described: str,
) -> FleetMessage:
    return FleetMessage(
        kind='ack',
        seq=1,
        sender=create_member(address),
        revision=0,
        age_s=None,
        described=described,
        records=tuple(records),
    )


if __name__ == '__main__':
    unittest.main()
