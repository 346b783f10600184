"""Tests of the anti-entropy exchange of member lists."""

import random
import unittest

from jacinthcart.fleet import DiscoveryParameters, MemberParameters, MemberTable
from jacinthcart.fleet._anti_entropy import AntiEntropy, AntiEntropyParameters
from jacinthcart.fleet._member_log import MemberLog
from jacinthcart.fleet._messages import FleetMessage, MemberRecord
from jacinthcart.readings import START
from jacinthcart.telemetry import create_logger
from tests.support import ManualClock, create_member

_SEEDS = ('10.0.0.1', '10.0.0.2')
_OWN = '10.0.0.9'
#: Number of members of the largest deployment.
_MEMBERS = 89


class AntiEntropyTests(unittest.TestCase):
    """One member a round is asked for the records that differ."""

    def setUp(self) -> None:
        """Create the state of a new process."""
        self.clock = ManualClock()
        self.params = AntiEntropyParameters()
        self.members = self._create_members(_OWN)
        self.anti_entropy = self._create_anti_entropy(self.members)

    def test_new_process_asks_seeds_and_others(self) -> None:
        """Guards against relying on seeds that are down or new themselves."""
        self.members.merge(create_member('10.0.0.5'))
        asked = {self.anti_entropy.choose_peer() for _ in range(30)}
        self.assertEqual(asked, {*_SEEDS, '10.0.0.5'})

    def test_other_members_are_not_asked_in_the_round(self) -> None:
        """Guards against charged traffic for asking several members."""
        asked = self.anti_entropy.choose_peer()
        self.assertIsNotNone(self.anti_entropy.create_request_for(asked or ''))
        self.assertIsNone(self.anti_entropy.create_request_for('10.0.0.5'))

    def test_list_is_read_in_one_round_with_few_duplicate_records(self) -> None:
        """Guards against repeated records that delay a list of 89 members.

        Reading it took seconds, as each record was received many times.
        """
        sent, is_read = self._read(_MEMBERS, _SEEDS[0])
        self.assertTrue(is_read)
        self.assertLessEqual(sent, 1.25 * _MEMBERS)

    def test_few_missing_records_are_read_without_the_others(self) -> None:
        """Guards against charged traffic for records that are known."""
        for number in range(_MEMBERS - 2):
            self.members.merge(create_member(f'10.0.1.{number}'))
        sent, is_read = self._read(_MEMBERS, _SEEDS[0])
        self.assertTrue(is_read)
        self.assertLess(sent, 0.25 * _MEMBERS)

    def test_matching_lists_of_two_members_complete_the_list(self) -> None:
        """Guards against rate limits reduced for a second without need.

        The list counted as incomplete for 1 s after its last new member.
        """
        self._read(_MEMBERS, _SEEDS[0])
        self.assertTrue(self.anti_entropy.is_active)
        self._read(_MEMBERS, _SEEDS[1])
        self.assertFalse(self.anti_entropy.is_active)
        self.members.merge(create_member('10.0.0.5'))
        self.assertTrue(self.anti_entropy.is_active)

    def test_answer_without_new_records_ends_the_exchange(self) -> None:
        """Guards against asking a member with fewer records forever."""
        records = [create_member(f'10.0.1.{one}') for one in range(20)]
        answer = _create_answer(_SEEDS[0], records[:10], 'other')
        self.assertTrue(
            self.anti_entropy.handle_answer(answer, has_learned=True)
        )
        self.assertFalse(
            self.anti_entropy.handle_answer(answer, has_learned=False)
        )

    def test_later_rounds_rarely_request_a_list(self) -> None:
        """Lost changes must arrive eventually, at little cost."""
        self.clock.advance(self.params.initial_sync_s + 1)
        asked = [self.anti_entropy.choose_peer() for _ in range(1000)]
        fraction = self.params.refresh_fraction
        self.assertLess(asked.count(None), 1000 * (1 - fraction / 2))
        self.assertGreater(asked.count(None), 1000 * (1 - fraction * 2))

    def test_process_without_seeds_asks_no_one(self) -> None:
        """Choosing a random seed from an empty list ended the process."""
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
        """Read a member's list of `count` records.

        Return how many records it sent and whether all were received.
        """
        other = self._create_members(address)
        for number in range(count):
            other.merge(create_member(f'10.0.1.{number}'))
        for seed in _SEEDS:
            other.merge(create_member(seed))
            self.members.merge(create_member(seed))
        other.merge(self.members.own)
        responder = self._create_anti_entropy(other)
        sent = 0
        has_more = True
        while has_more:
            described = self.members.log.describe(self.members.own)
            records, digest = responder.answer(described)
            sent += len(records)
            has_learned = any([self.members.merge(one) for one in records])
            has_more = self.anti_entropy.handle_answer(
                _create_answer(address, records, digest),
                has_learned=has_learned,
            )
        return sent, len(self.members.list_others()) >= count


class MemberLogTests(unittest.TestCase):
    """Lists of two VMs are compared by bucket."""

    def setUp(self) -> None:
        """Create a log of three members."""
        self.log = MemberLog()
        for number in range(3):
            record = create_member(f'10.0.0.{number}')
            self.log.put(record, number, disseminate=number > 0)

    def test_changed_record_differs(self) -> None:
        """A changed state of a known member must be sent."""
        own = create_member(_OWN)
        described = self.log.describe(own)
        unchanged = self.log.list_differing_buckets(
            self.log.describe(own), described
        )
        self.assertEqual(unchanged, [])
        changed = create_member('10.0.0.0', incarnation=2)
        self.log.put(changed, 5, disseminate=True)
        differing = self.log.list_differing_buckets(
            self.log.describe(own), described
        )
        self.assertIn(changed, [one for bucket in differing for one in bucket])
        self.assertEqual(len(self.log.list_records()), 3)

    def test_unreadable_description_differs(self) -> None:
        """Guards against treating another version's description as equal."""
        described = self.log.describe(create_member(_OWN))
        differing = self.log.list_differing_buckets(described, 'x')
        self.assertEqual(sum(len(bucket) for bucket in differing), 3)

    def test_recent_changes_are_listed_newest_first(self) -> None:
        """Guards against dropping the newest records from a full datagram."""
        recent = self.log.list_recent(since=0)
        self.assertEqual(
            [record.address for record in recent],
            ['10.0.0.2', '10.0.0.1'],
        )

    def test_description_depends_on_the_records_alone(self) -> None:
        """Guards against descriptions that differ for the same records.

        Records arrive at each VM in a different order, and the record of a VM
        is not in its own log.
        """
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
        newest=START,
        complete_to=START,
        age_s=None,
        digest=None,
        described=described,
        records=tuple(records),
    )


if __name__ == '__main__':
    unittest.main()
