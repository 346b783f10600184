"""Fan-out of a query's parts on one snapshot, locally and to other VMs."""

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
from jacinthcart.gather._context import GatherContext, PinnedQuery
from jacinthcart.gather._merge import Merge
from jacinthcart.gather._outcomes import (
    MissingReason,
    PartOutcome,
    PartRequest,
    create_missing_outcome,
    outcome_from_refusal,
    outcome_from_result,
    outcomes_from_reply,
)
from jacinthcart.gather._owner_selection import OwnerSelector

_MS_PER_S = 1000


async def run_local_part(context: GatherContext, call: PartCall) -> PartOutcome:
    """Run one part on this VM and convert a refusal to an outcome."""
    request = PartRequest(call.part, call.shards)
    try:
        # A paused process may resume long after the deadline.
        context.check_may_send(call.deadline)
        result = await context.dispatcher.run_part(call)
    except RefusalError as refusal:
        return outcome_from_refusal(request, call.snapshot, refusal)
    return outcome_from_result(request, call.snapshot, result)


class Fanout:
    """Runs the parts of one query on one snapshot and merges the outcomes."""

    def __init__(
        self,
        context: GatherContext,
        query: PinnedQuery,
        snapshot: Snapshot,
        requests: Iterable[PartRequest],
    ) -> None:
        """Create the merge without sending any requests."""
        self._requests = tuple(requests)
        self.merge = Merge(snapshot, self._requests, context.metrics)
        self._context = context
        self._query = query
        self._snapshot = snapshot
        self._selector = OwnerSelector(context, query)
        self._failed_parts: set[str] = set()

    async def run(self) -> None:
        """Run until every part has an outcome or the merge deadline passes."""
        with anyio.move_on_after(max(0.0, self._remaining_s())):
            async with anyio.create_task_group() as tasks:
                self._start(tasks, self._requests)
        self.merge.add_unanswered(MissingReason.LATE)

    def _start(self, tasks: TaskGroup, requests: Sequence[PartRequest]) -> None:
        plan = self._selector.plan(requests)
        for request in plan.local:
            tasks.start_soon(self._run_local, tasks, request)
        for vm_id, assigned in plan.requests_by_vm.items():
            self._context.metrics.count('hop', self._query.message.service_id)
            tasks.start_soon(self._run_remote, tasks, vm_id, assigned)
        for request in plan.unowned:
            self.merge.add(
                self._create_missing(request, RefusalCode.NO_REPLICA),
            )

    async def _run_local(self, tasks: TaskGroup, request: PartRequest) -> None:
        outcome = await run_local_part(
            self._context,
            self._query.message.create_part_call(
                request.part,
                request.shards,
                self._snapshot,
                self._query.merge_deadline,
            ),
        )
        own_vm = self._context.feed.process.vm_id
        retries = self._merge_or_retry(own_vm, outcome, outcome.may_be_rerouted)
        self._start(tasks, retries)

    async def _run_remote(
        self,
        tasks: TaskGroup,
        vm_id: str,
        requests: Sequence[PartRequest],
    ) -> None:
        try:
            outcomes = await self._call_peer(vm_id, requests)
        except NotSentError:
            retries = self._handle_failed_peer(
                vm_id,
                requests,
                RefusalCode.NO_REPLICA,
                Ran.NOT_RUN,
            )
        except OutcomeUnknownError:
            retries = self._handle_failed_peer(
                vm_id,
                requests,
                MissingReason.PEER_FAILED,
                Ran.UNKNOWN,
            )
        else:
            retries = [
                request
                for outcome in outcomes
                for request in self._merge_or_retry(
                    vm_id,
                    outcome,
                    outcome.may_be_rerouted and not self._query.is_submit,
                )
            ]
        self._start(tasks, retries)

    async def _call_peer(
        self,
        vm_id: str,
        requests: Sequence[PartRequest],
    ) -> list[PartOutcome]:
        roster = self._query.view.roster
        if roster is None:
            raise NotSentError('no roster')
        try:
            self._context.check_may_send(self._query.merge_deadline)
            reply = await self._context.peers.send_subquery(
                vm_id,
                roster.vms_by_id[vm_id],
                self._create_subquery(requests),
                self._remaining_s(),
            )
        except RefusalError as refusal:
            return [
                outcome_from_refusal(request, self._snapshot, refusal)
                for request in requests
            ]
        return outcomes_from_reply(requests, reply)

    def _create_subquery(
        self,
        requests: Iterable[PartRequest],
    ) -> dict[str, Any]:
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
            'parts': {request.part: request.shards for request in requests},
            'query': message.query,
        }

    def _handle_failed_peer(
        self,
        vm_id: str,
        requests: Iterable[PartRequest],
        reason: str,
        ran: Ran,
    ) -> list[PartRequest]:
        """Return the requests to retry on another VM; merge the others.

        The others are merged as missing. A part that may have run is retried
        only when it is idempotent, and only once.
        """
        retries: list[PartRequest] = []
        for request in requests:
            may_retry = ran is Ran.NOT_RUN
            if not may_retry and not self._query.is_submit:
                may_retry = request.part not in self._failed_parts
                self._failed_parts.add(request.part)
            outcome = self._create_missing(request, reason, ran)
            retries.extend(self._merge_or_retry(vm_id, outcome, may_retry))
        return retries

    def _merge_or_retry(
        self,
        vm_id: str,
        outcome: PartOutcome,
        may_retry: bool,
    ) -> list[PartRequest]:
        """Merge an outcome, or return its request to retry on another VM."""
        part = outcome.request.part
        self._selector.mark_tried(part, vm_id)
        if may_retry and self._remaining_s() > 0:
            if self._selector.can_retry(part):
                self.merge.record_attempt(outcome.ran)
                return [outcome.request]
        self.merge.add(outcome)
        return []

    def _create_missing(
        self,
        request: PartRequest,
        reason: str,
        ran: Ran = Ran.NOT_RUN,
    ) -> PartOutcome:
        return create_missing_outcome(request, self._snapshot, reason, ran)

    def _remaining_s(self) -> float:
        return self._query.merge_deadline - self._context.feed.clock()
