"""Randomised queries checked against an oracle of snapshot and coverage."""

import dataclasses
import unittest
from typing import Any

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.dispatch import PartCall, PartResult
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from tests.gather.fakes import (
    SERVICE_PATH,
    Fleet,
    answer_all,
    create_service,
    run_in_virtual_time,
)

_PARTS = 4
_VMS = 5
_DEADLINE_S = 1.0
_BEHAVIOURS = ('answer', 'half', 'not_run', 'unknown', 'old_version', 'hang')


@dataclasses.dataclass(frozen=True)
class _Faults:
    """Faults injected in one run."""

    #: Behaviour of each part's searcher.
    behaviours: tuple[str, ...]
    #: VMs that refuse connections.
    unreachable: frozenset[str]
    #: VMs whose replies are lost.
    breaking: frozenset[str]
    #: VMs whose replies name another snapshot.
    lying: frozenset[str]
    #: Whether a new partition map is applied while the query runs.
    repartition: bool


_VM_SETS = st.frozensets(
    st.sampled_from([f'vm{number}' for number in range(_VMS)]),
    max_size=2,
)
_FAULTS = st.builds(
    _Faults,
    st.tuples(*[st.sampled_from(_BEHAVIOURS) for _ in range(_PARTS)]),
    _VM_SETS,
    _VM_SETS,
    _VM_SETS,
    st.booleans(),
)


class _Run:
    """One query in a faulty fleet and its effect on the searchers."""

    def __init__(self, faults: _Faults, owners: int) -> None:
        """Start the fleet with the faults."""
        self.faults = faults
        #: Snapshots that searchers answered from, by shard.
        self.answered: dict[int, set[int]] = {}
        #: Whether a searcher may have run anything.
        self.may_have_run = False
        self.fleet = Fleet(
            create_service(_PARTS, owners=owners),
            _VMS,
            self._run_part,
        )
        self.fleet.unreachable.update(faults.unreachable)
        self.fleet.breaking.update(faults.breaking)
        self.fleet.change_reply = self._change_reply

    async def query(self) -> dict[str, Any] | RefusalError:
        """Return the answer or the refusal."""
        started = anyio.current_time()
        try:
            return await self.fleet.vms_by_id['vm0'].query(
                deadline_ms=_DEADLINE_S * 1000,
                query={'limit': 100},
            )
        except RefusalError as refusal:
            return refusal
        finally:
            assert anyio.current_time() - started <= _DEADLINE_S

    async def _run_part(self, call: PartCall) -> PartResult:
        if self.faults.repartition:
            moved = create_service(2, partition_map=2, index_versions=[8])
            self.fleet.apply(SERVICE_PATH, moved)
        behaviour = self.faults.behaviours[int(call.part[1:])]
        version = call.snapshot.index_version
        if behaviour == 'not_run':
            raise RefusalError(RefusalCode.NO_REPLICA)
        if behaviour == 'old_version' and version == 7:
            missing = dict.fromkeys(call.shards, 'wrong_version')
            self.may_have_run = True
            return PartResult({}, missing, frozenset((6,)))
        self.may_have_run = True
        if behaviour == 'unknown':
            raise RefusalError(RefusalCode.BACKEND_FAILED, Ran.UNKNOWN)
        if behaviour == 'hang':
            await anyio.sleep_forever()
        found = answer_all(call)
        if behaviour == 'half':
            found.hits_by_shard.pop(call.shards[0])
            found.missing[call.shards[0]] = 'late'
        for shard in found.hits_by_shard:
            self.answered.setdefault(shard, set()).add(version)
        return found

    def _change_reply(self, vm_id: str, reply: Any) -> Any:
        if vm_id in self.faults.lying:
            return {**reply, 'partition_map': 9}
        return reply


class RandomQueryTest(unittest.TestCase):
    """Faults reduce coverage but never make an answer incorrect."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(_FAULTS, st.integers(1, 3))
    def test_answer_is_one_snapshot_with_true_coverage(
        self,
        faults: _Faults,
        owners: int,
    ) -> None:
        """Guards against mixed snapshots, false coverage and `not_run`."""
        run = _Run(faults, owners)
        answer = run_in_virtual_time(run.query)
        if isinstance(answer, RefusalError):
            if run.may_have_run:
                self.assertEqual(answer.ran, Ran.UNKNOWN)
            elif not faults.breaking | faults.lying:
                self.assertEqual(answer.ran, Ran.NOT_RUN)
            return
        self.check_answer(run, answer)
        if not (faults.unreachable | faults.breaking | faults.lying):
            self.check_coverage(run, answer)

    def check_answer(self, run: _Run, answer: dict[str, Any]) -> None:
        """Check hits and coverage against the answers of the searchers."""
        coverage = answer['coverage']
        version = answer['snapshot']['index_version']
        self.assertEqual(answer['snapshot']['partition_map'], 1)
        names = [hit['id'].split('-') for hit in answer['hits']]
        self.assertEqual({name[0] for name in names}, {str(version)})
        merged = [int(name[1]) for name in names]
        missing = [entry['shard'] for entry in coverage['missing']]
        self.assertEqual(sorted(merged + missing), list(range(2 * _PARTS)))
        self.assertEqual(coverage['shards_answered'], len(merged))
        self.assertEqual(coverage['shards_asked'], 2 * _PARTS)
        for shard in merged:
            self.assertIn(version, run.answered[shard])

    def check_coverage(self, run: _Run, answer: dict[str, Any]) -> None:
        """Check that every shard answer is merged when no VM is faulty."""
        version = answer['snapshot']['index_version']
        expected = [
            shard
            for shard, versions in run.answered.items()
            if version in versions
        ]
        self.assertEqual(
            answer['coverage']['shards_answered'],
            len(expected),
        )
