"""One run of a query's parts on one snapshot, here and on other VMs."""

from collections.abc import Iterable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.dispatch import PartCall, Snapshot
from jacinthcart.errors import (
    NotSentError,
    OutcomeUnknownError,
    Ran,
    RefusalCode,
    RefusalError,
)
from jacinthcart.gather._choice import OwnerChoice
from jacinthcart.gather._context import GatherParts, PinnedQuery
from jacinthcart.gather._merge import Merge
from jacinthcart.gather._outcomes import (
    MissingReason,
    PartOutcome,
    PartWork,
    create_missing_outcome,
    outcome_from_refusal,
    outcome_from_result,
    outcomes_from_reply,
)

_MS_PER_S = 1000


async def run_local_part(parts: GatherParts, call: PartCall) -> PartOutcome:
    """Run one part on this VM; a refusal becomes an outcome."""
    work = PartWork(call.part, call.shards)
    try:
        # A paused process may resume long after the deadline.
        parts.check_may_send(call.deadline)
        found = await parts.dispatcher.run_part(call)
    except RefusalError as refusal:
        return outcome_from_refusal(work, call.snapshot, refusal)
    return outcome_from_result(work, call.snapshot, found)


class Fanout:
    """Runs the parts of one query on one snapshot and fills its merge."""

    def __init__(
        self,
        parts: GatherParts,
        query: PinnedQuery,
        snapshot: Snapshot,
        works: Iterable[PartWork],
    ) -> None:
        """Prepare the merge; nothing is sent."""
        self._works = tuple(works)
        self.merge = Merge(snapshot, self._works, parts.metrics)
        self._parts = parts
        self._query = query
        self._snapshot = snapshot
        self._choice = OwnerChoice(parts, query)
        self._failed_parts: set[str] = set()

    async def run(self) -> None:
        """Return when every part has an outcome or its time is over."""
        with anyio.move_on_after(max(0.0, self._remaining_s())):
            async with anyio.create_task_group() as tasks:
                self._start(tasks, self._works)
        self.merge.add_absent(MissingReason.LATE)

    def _start(self, tasks: TaskGroup, works: Sequence[PartWork]) -> None:
        plan = self._choice.plan(works)
        for work in plan.local:
            tasks.start_soon(self._run_local, tasks, work)
        for vm_id, asked in plan.works_by_vm.items():
            self._parts.metrics.count('hop', self._query.message.service_id)
            tasks.start_soon(self._run_remote, tasks, vm_id, asked)
        for work in plan.unowned:
            self.merge.add(self._create_missing(work, RefusalCode.NO_REPLICA))

    async def _run_local(self, tasks: TaskGroup, work: PartWork) -> None:
        outcome = await run_local_part(
            self._parts,
            self._query.message.create_part_call(
                work.part,
                work.shards,
                self._snapshot,
                self._query.merge_deadline,
            ),
        )
        own_vm = self._parts.feed.process.vm_id
        again = self._settle(own_vm, outcome, outcome.may_be_rerouted)
        self._start(tasks, again)

    async def _run_remote(
        self,
        tasks: TaskGroup,
        vm_id: str,
        works: Sequence[PartWork],
    ) -> None:
        try:
            outcomes = await self._ask_peer(vm_id, works)
        except NotSentError:
            again = self._settle_lost(
                vm_id,
                works,
                RefusalCode.NO_REPLICA,
                Ran.NOT_RUN,
            )
        except OutcomeUnknownError:
            again = self._settle_lost(
                vm_id,
                works,
                MissingReason.PEER_FAILED,
                Ran.UNKNOWN,
            )
        else:
            again = [
                work
                for outcome in outcomes
                for work in self._settle(
                    vm_id,
                    outcome,
                    outcome.may_be_rerouted and not self._query.is_submit,
                )
            ]
        self._start(tasks, again)

    async def _ask_peer(
        self,
        vm_id: str,
        works: Sequence[PartWork],
    ) -> list[PartOutcome]:
        roster = self._query.view.roster
        if roster is None:
            raise NotSentError('no roster')
        try:
            self._parts.check_may_send(self._query.merge_deadline)
            reply = await self._parts.peers.ask(
                vm_id,
                roster.vms_by_id[vm_id],
                self._create_subquery(works),
                self._remaining_s(),
            )
        except RefusalError as refusal:
            return [
                outcome_from_refusal(work, self._snapshot, refusal)
                for work in works
            ]
        return outcomes_from_reply(works, reply)

    def _create_subquery(self, works: Iterable[PartWork]) -> dict[str, Any]:
        message = self._query.message
        return {
            'request_id': message.request_id,
            'service_id': message.service_id,
            'workspace_id': message.workspace_id,
            'request_class': message.request_class,
            'route_kind': message.route_kind,
            'deadline_ms': self._remaining_s() * _MS_PER_S,
            'index_version': self._snapshot.index_version,
            'partition_map': self._snapshot.partition_map,
            'parts': {work.part: work.shards for work in works},
            'query': message.query,
        }

    def _settle_lost(
        self,
        vm_id: str,
        works: Iterable[PartWork],
        reason: str,
        ran: Ran,
    ) -> list[PartWork]:
        """Merge or return the work of a VM that gave no answer."""
        again: list[PartWork] = []
        for work in works:
            may_retry = ran is Ran.NOT_RUN
            if not may_retry and not self._query.is_submit:
                may_retry = work.part not in self._failed_parts
                self._failed_parts.add(work.part)
            outcome = self._create_missing(work, reason, ran)
            again.extend(self._settle(vm_id, outcome, may_retry))
        return again

    def _settle(
        self,
        vm_id: str,
        outcome: PartOutcome,
        may_retry: bool,
    ) -> list[PartWork]:
        """Merge an outcome, or return its work to be run on another VM."""
        part = outcome.work.part
        self._choice.note_tried(part, vm_id)
        if may_retry and self._remaining_s() > 0:
            if self._choice.may_repeat(part):
                self.merge.note_attempt(outcome.ran)
                return [outcome.work]
        self.merge.add(outcome)
        return []

    def _create_missing(
        self,
        work: PartWork,
        reason: str,
        ran: Ran = Ran.NOT_RUN,
    ) -> PartOutcome:
        return create_missing_outcome(work, self._snapshot, reason, ran)

    def _remaining_s(self) -> float:
        return self._query.merge_deadline - self._parts.feed.clock()
