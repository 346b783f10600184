"""Tests of queries: snapshot, coverage, deadlines and refusals."""

import unittest
from typing import Any

import anyio

from jacinthcart.dispatch import PartCall, PartResult
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.ownership import find_warmer
from tests.gather.fakes import (
    SERVICE_ID,
    SERVICE_PATH,
    Fleet,
    answer_all,
    create_service,
    run_in_virtual_time,
)


def _list_missing(answer: dict[str, Any]) -> dict[int, str]:
    missing = answer['coverage']['missing']
    return {entry['shard']: entry['reason'] for entry in missing}


class QueryTest(unittest.TestCase):
    """An answer comes from one snapshot and lists its missing shards."""

    def run_with(self, fleet: Fleet, **fields: Any) -> dict[str, Any]:
        """Run one query from a VM that does not own part `p0`."""

        async def body() -> dict[str, Any]:
            return await fleet.find_non_owner('p0').query(**fields)

        return run_in_virtual_time(body)

    def refuse_with(self, fleet: Fleet, **fields: Any) -> RefusalError:
        """Return the refusal of one query."""
        with self.assertRaises(RefusalError) as caught:
            self.run_with(fleet, **fields)
        return caught.exception

    def test_hits_of_all_shards_come_best_first(self) -> None:
        """Guards against a lost part, a wrong order and a wrong limit."""
        answer = self.run_with(Fleet(create_service()), query={'limit': 4})
        self.assertEqual(
            [hit['score'] for hit in answer['hits']],
            [5, 4, 3, 2],
        )
        self.assertEqual(
            answer['coverage'],
            {'shards_asked': 6, 'shards_answered': 6, 'missing': []},
        )

    def test_queries_have_a_histogram_of_their_own(self) -> None:
        """Guards against requests counted by both entry and gather.

        Control adds up the histograms of its VM's programs by key, and the
        entry uses the key `request`.
        """
        fleet = Fleet(create_service())
        vm = fleet.find_non_owner('p0')
        run_in_virtual_time(vm.query)
        keys = vm.metrics.export()['histograms']
        self.assertIn('query|team/shop|priority', keys)
        self.assertNotIn('request|team/shop|priority', keys)

    def test_lookup_asks_one_shard(self) -> None:
        """Guards against a lookup that fans out or changes its shard."""
        fleet = Fleet(create_service())
        fields = {'route_kind': 'lookup', 'query': {'id': 'order-1'}}
        answer = self.run_with(fleet, **fields)
        self.assertEqual(self.run_with(fleet, **fields), answer)
        self.assertEqual(answer['coverage']['shards_asked'], 1)

    def test_reply_of_another_version_is_not_merged(self) -> None:
        """Guards against hits of two index versions in one answer."""
        fleet = Fleet(create_service())
        owner = fleet.get_owners('p0')[0]

        def change(vm_id: str, reply: dict[str, Any]) -> dict[str, Any]:
            return {**reply, 'index_version': 6} if vm_id == owner else reply

        fleet.change_reply = change
        answer = self.run_with(fleet)
        missing = _list_missing(answer)
        self.assertEqual(missing[0], 'wrong_snapshot')
        merged = sorted(int(hit['id'].split('-')[1]) for hit in answer['hits'])
        self.assertEqual(
            merged,
            [shard for shard in range(6) if shard not in missing],
        )

    def test_reply_with_other_shards_is_not_merged(self) -> None:
        """Guards against coverage that counts an unanswered shard."""
        fleet = Fleet(create_service())
        owner = fleet.get_owners('p0')[0]

        def change(vm_id: str, reply: dict[str, Any]) -> dict[str, Any]:
            if vm_id == owner:
                reply['hits_by_shard'].pop('0')
            return reply

        fleet.change_reply = change
        answer = self.run_with(fleet)
        self.assertEqual(
            _list_missing(answer),
            {0: 'wrong_shards', 1: 'wrong_shards'},
        )

    def test_answer_with_more_shards_is_kept(self) -> None:
        """Guards against a rerun that reduces coverage."""

        async def hold_one_each(call: PartCall) -> PartResult:
            held = 6 if call.part == 'p0' else 7
            if call.snapshot.index_version == held:
                return answer_all(call)
            missing = dict.fromkeys(call.shards, 'wrong_version')
            return PartResult({}, missing, frozenset((held,)))

        answer = self.run_with(Fleet(create_service(), runner=hold_one_each))
        self.assertEqual(answer['snapshot']['index_version'], 7)
        self.assertEqual(answer['coverage']['shards_answered'], 4)

    def test_repartition_during_a_query_changes_nothing(self) -> None:
        """Guards against a rerun that mixes two partition maps."""

        async def repartition(call: PartCall) -> PartResult:
            if fleet.revision == before:
                fleet.apply(SERVICE_PATH, moved)
            await anyio.sleep(0.1)
            if call.snapshot.index_version == 7:
                missing = dict.fromkeys(call.shards, 'wrong_version')
                return PartResult({}, missing, frozenset((6, 8)))
            return answer_all(call)

        fleet = Fleet(create_service(), runner=repartition)
        moved = create_service(2, partition_map=2, index_versions=[8])
        before = fleet.revision
        answer = self.run_with(fleet)
        self.assertEqual(
            answer['snapshot'],
            {'index_version': 6, 'partition_map': 1},
        )
        self.assertEqual(answer['coverage']['shards_answered'], 6)

    def test_data_centre_that_is_out_gets_no_subqueries(self) -> None:
        """Guards against subqueries to a data centre out of service."""
        fleet = Fleet(create_service(1, owners=2), vm_count=3)
        first = min(fleet.get_owners('p0'))
        centre = first.replace('vm', 'dc')
        fleet.apply('fleet/data_centres', {'state_by_name': {centre: 'out'}})
        answer = self.run_with(fleet)
        self.assertEqual(_list_missing(answer), {})
        self.assertNotIn(first, fleet.sent)

    def test_refused_part_is_named_as_missing(self) -> None:
        """Guards against an incomplete answer that claims full coverage."""

        async def refuse_one(call: PartCall) -> PartResult:
            if call.part == 'p1':
                raise RefusalError(RefusalCode.OVERLOADED)
            return answer_all(call)

        answer = self.run_with(Fleet(create_service(), runner=refuse_one))
        self.assertEqual(
            _list_missing(answer),
            {2: 'overloaded', 3: 'overloaded'},
        )
        self.assertEqual(answer['coverage']['shards_answered'], 4)

    def test_late_peer_leaves_a_partial_answer(self) -> None:
        """Guards against waiting past the deadline for one peer."""
        fleet = Fleet(create_service())
        owner = fleet.get_owners('p0')[0]
        fleet.delay_s_by_vm[owner] = 5

        async def body() -> None:
            answer = await fleet.find_non_owner('p0').query()
            self.assertEqual(_list_missing(answer)[0], 'late')
            self.assertLess(anyio.current_time() - started, 1)

        async def timed_body() -> None:
            nonlocal started
            started = anyio.current_time()
            await body()

        started = 0.0
        run_in_virtual_time(timed_body)

    def test_query_reruns_on_a_common_version(self) -> None:
        """Guards against lost coverage while replicas change versions."""

        async def hold_six(call: PartCall) -> PartResult:
            if call.part == 'p0' and call.snapshot.index_version == 7:
                missing = dict.fromkeys(call.shards, 'wrong_version')
                return PartResult({}, missing, frozenset((6,)))
            return answer_all(call)

        answer = self.run_with(Fleet(create_service(), runner=hold_six))
        self.assertEqual(answer['snapshot']['index_version'], 6)
        self.assertEqual(answer['coverage']['shards_answered'], 6)
        self.assertEqual(
            {hit['id'].split('-')[0] for hit in answer['hits']},
            {'6'},
        )

    def test_unreachable_owner_is_replaced(self) -> None:
        """Guards against lost coverage while another owner is reachable."""
        fleet = Fleet(create_service(owners=2), vm_count=4)
        fleet.unreachable.add(min(fleet.get_owners('p0')))
        answer = self.run_with(fleet)
        self.assertEqual(_list_missing(answer), {})
        self.assertIn(min(fleet.get_owners('p0')), fleet.sent)
        fleet.sent.clear()
        self.run_with(fleet)
        self.assertNotIn(min(fleet.get_owners('p0')), fleet.sent)

    def test_recovered_peer_is_asked_again(self) -> None:
        """Guards against excluding a peer permanently after a fault."""
        fleet = Fleet(create_service(1, owners=2))
        first = min(fleet.get_owners('p0'))

        async def body() -> None:
            non_owner = fleet.find_non_owner('p0')
            fleet.unreachable.add(first)
            await non_owner.query()
            fleet.unreachable.clear()
            await anyio.sleep(6)
            await non_owner.query()

        run_in_virtual_time(body)
        self.assertEqual(fleet.sent[-1], first)

    def test_cold_part_goes_to_its_warmer(self) -> None:
        """Guards against refusals while the warmer can run the part."""

        async def refuse(call: PartCall) -> PartResult:
            raise RefusalError(RefusalCode.NO_REPLICA)

        fleet = Fleet(create_service(1, owners=4), 5, refuse)
        owners = fleet.get_owners('p0')
        warmer = max(owners)
        names = (f's{number}' for number in range(100))
        name = next(
            one
            for one in names
            if find_warmer(f'{SERVICE_ID}/{one}', owners) == warmer
        )
        service = create_service(1, owners=4)
        part = service['parts_by_name']['p0']
        part['searchers_by_id'] = {name: part['searchers_by_id']['s0']}
        fleet.apply(SERVICE_PATH, service)
        fleet.vms_by_id[warmer].dispatcher.runner = None
        answer = self.run_with(fleet)
        self.assertEqual(_list_missing(answer), {})
        self.assertEqual(fleet.sent, [min(owners), warmer])

    def test_subquery_with_lost_reply_is_retried_once(self) -> None:
        """Guards against lost coverage and unbounded retries."""
        fleet = Fleet(create_service(1, owners=3), vm_count=4)
        owners = fleet.get_owners('p0')
        fleet.breaking.update(owners)
        refusal = self.refuse_with(fleet)
        self.assertEqual(len(fleet.list_calls()), 2)
        self.assertEqual(
            (refusal.code, refusal.ran),
            (RefusalCode.BACKEND_FAILED, Ran.UNKNOWN),
        )
        fleet.breaking = {fleet.sent[0]}
        self.assertEqual(_list_missing(self.run_with(fleet)), {})

    def test_not_run_requires_that_no_part_ran(self) -> None:
        """Guards against `not_run` while one part may have run."""

        async def refuse(call: PartCall) -> PartResult:
            ran = Ran.UNKNOWN if call.part == unknown_part else Ran.NOT_RUN
            raise RefusalError(RefusalCode.NO_REPLICA, ran)

        for unknown_part, code, ran in (
            ('', RefusalCode.NO_REPLICA, Ran.NOT_RUN),
            ('p1', RefusalCode.BACKEND_FAILED, Ran.UNKNOWN),
        ):
            refusal = self.refuse_with(Fleet(create_service(), runner=refuse))
            self.assertEqual((refusal.code, refusal.ran), (code, ran))

    def test_failed_attempt_keeps_a_later_refusal_unknown(self) -> None:
        """Guards against `not_run` after the first peer's reply is lost."""
        fleet = Fleet(create_service(1, owners=2), vm_count=3)

        async def refuse_second(call: PartCall) -> PartResult:
            if len(fleet.sent) == 2:
                raise RefusalError(RefusalCode.OVERLOADED)
            return answer_all(call)

        for vm in fleet.vms_by_id.values():
            vm.dispatcher.runner = refuse_second
        fleet.breaking = {min(fleet.get_owners('p0'))}
        refusal = self.refuse_with(fleet)
        self.assertEqual((len(fleet.sent), refusal.ran), (2, Ran.UNKNOWN))

    def test_no_lease_and_bad_queries_are_not_run(self) -> None:
        """Guards against calls without a lease or with invalid input."""
        fleet = Fleet(create_service())
        for fields, code in (
            ({'query': {'limit': 0}}, RefusalCode.INVALID_REQUEST),
            ({'route_kind': 'lookup'}, RefusalCode.INVALID_REQUEST),
            ({'service_id': 'team/none'}, RefusalCode.UNKNOWN_ROUTE),
            ({'deadline_ms': 0}, RefusalCode.DEADLINE_PASSED),
        ):
            refusal = self.refuse_with(fleet, **fields)
            self.assertEqual((refusal.code, refusal.ran), (code, Ran.NOT_RUN))
        for vm in fleet.vms_by_id.values():
            vm.feed.lease = False
        refusal = self.refuse_with(fleet)
        self.assertEqual(refusal.code, RefusalCode.NOT_READY)
        self.assertEqual((fleet.sent, fleet.list_calls()), ([], []))

    def test_gather_paused_past_the_deadline_sends_nothing(self) -> None:
        """Guards against requests for callers that have timed out."""
        self.check_sending_stops('paused_s', 60, 'deadline_passed')

    def test_gather_without_lease_sends_nothing_more(self) -> None:
        """Guards against further requests once control stops responding."""
        self.check_sending_stops('lease', False, 'not_ready')

    def check_sending_stops(
        self,
        field: str,
        changed: float,
        reason: str,
    ) -> None:
        """Check that no part is sent after the feed changes."""

        async def change(call: PartCall) -> PartResult:
            setattr(fleet.vms_by_id['vm0'].feed, field, changed)
            return answer_all(call)

        fleet = Fleet(create_service(), vm_count=1, runner=change)

        async def body() -> dict[str, Any]:
            return await fleet.vms_by_id['vm0'].query()

        answer = run_in_virtual_time(body)
        self.assertEqual(len(fleet.list_calls()), 1)
        self.assertEqual(set(_list_missing(answer).values()), {reason})

    def test_leaving_gather_refuses_subqueries_after_the_drain_period(
        self,
    ) -> None:
        """Guards against a graceful shutdown that interrupts requests."""
        fleet = Fleet(create_service(1), vm_count=2)
        owner = fleet.vms_by_id[fleet.get_owners('p0')[0]]

        async def body() -> None:
            non_owner = fleet.find_non_owner('p0')
            owner.service.start_leaving()
            await non_owner.query()
            await anyio.sleep(1.1)
            with self.assertRaises(RefusalError) as caught:
                await non_owner.query()
            self.assertEqual(caught.exception.ran, Ran.NOT_RUN)

        run_in_virtual_time(body)
        self.assertEqual(len(fleet.list_calls()), 1)
