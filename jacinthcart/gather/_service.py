"""The gather's interface: queries, subqueries and its report."""

import contextlib
import dataclasses
from collections.abc import Iterator
from typing import Any, TypeVar

import anyio

from jacinthcart.dispatch import Snapshot
from jacinthcart.errors import (
    InvalidMessageError,
    InvariantViolationError,
    Ran,
    RefusalCode,
    RefusalError,
)
from jacinthcart.gather._context import GatherParts
from jacinthcart.gather._fanout import run_local_part
from jacinthcart.gather._messages import (
    QueryMessage,
    SubqueryMessage,
    parse_message,
)
from jacinthcart.gather._outcomes import (
    MissingReason,
    PartWork,
    create_missing_outcome,
    reply_from_outcomes,
)
from jacinthcart.gather._processor import ProcessorGauge
from jacinthcart.gather._query import QueryRunner, compute_merge_deadline
from jacinthcart.gather._submit import RequestIdMemory
from jacinthcart.telemetry import DecisionLog

Message = dict[str, Any]

_MS_PER_S = 1000
#: Times `drain_announce_ms` after which new work is refused. The entry of
#: this VM accepts requests for one such time after the same signal, and
#: what it accepted last must still run here.
_PEER_NOTICES = 1
_LOCAL_NOTICES = 2

_Model = TypeVar('_Model', QueryMessage, SubqueryMessage)


class GatherService:
    """Runs queries of this VM's entry and subqueries of other gathers."""

    def __init__(
        self,
        parts: GatherParts,
        memory: RequestIdMemory,
        decisions: DecisionLog,
        processor: ProcessorGauge | None = None,
    ) -> None:
        """Keep what the requests share.

        Without `processor` no query is refused for a busy core.
        """
        self.in_flight = 0
        self._processor = processor
        self._parts = parts
        self._feed = parts.feed
        self._memory = memory
        self._decisions = decisions
        self._runner = QueryRunner(parts, memory)
        self._leaving_since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._leaving_since is not None

    @property
    def refuses_work(self) -> bool:
        """Return whether all new work is refused because of a stop."""
        return self._has_announced(_LOCAL_NOTICES)

    def start_leaving(self) -> None:
        """Refuse other gathers after `drain_announce_ms`, then everyone."""
        self._leaving_since = self._feed.clock()

    async def run_query(self, body: bytes) -> Message:
        """Answer `POST /v1/queries`; raise RefusalError."""
        message = _parse(QueryMessage, body)
        started = self._feed.clock()
        self._check_processor(message.deadline_ms)
        with self._admitted(_LOCAL_NOTICES):
            answer = await self._runner.run(message)
        metrics = self._parts.metrics
        seconds = self._feed.clock() - started
        service_id = message.service_id
        # The entry measures `request`; the administration API adds the
        # histograms of both programs by key.
        metrics.record_seconds(
            ('query', message.workspace_id, message.request_class.value),
            seconds,
        )
        metrics.record_seconds(('service', service_id), seconds)
        metrics.count('shards_asked', service_id, amount=answer.shards_asked)
        metrics.count(
            'shards_answered',
            service_id,
            amount=answer.shards_answered,
        )
        for reason in answer.missing.values():
            metrics.count('shard_missing', service_id, reason)
        return {'request_id': message.request_id, **answer.to_message()}

    async def run_subquery(self, body: bytes) -> Message:
        """Answer `POST /v1/subqueries`; raise RefusalError."""
        message = _parse(SubqueryMessage, body)
        with self._admitted(_PEER_NOTICES):
            return await _Subquery(self._parts, message).run()

    def create_prefix(self) -> Message:
        """Answer `GET /v1/request-id-prefix`."""
        return {'prefix': self._memory.create_prefix()}

    def create_report(self) -> Message:
        """Answer `GET /v1/report`."""
        return {
            'metrics': self._parts.metrics.export(),
            'decisions': [
                dataclasses.asdict(decision)
                for decision in self._decisions.list_newest()
            ],
            'dispatcher': self._parts.dispatcher.describe(),
            'peers': self._parts.peers.describe(),
            'in_flight': self.in_flight,
            'request_ids': len(self._memory),
        }

    def count_refusal(self, refusal: RefusalError) -> None:
        """Count a refusal by code and run state."""
        self._parts.metrics.count('refusal', refusal.code, refusal.ran)

    def _check_processor(self, deadline_ms: float) -> None:
        """Refuse a query that would wait too long for this core."""
        if self._processor is None:
            return
        wait_s = self._processor.estimate_wait_s(self.in_flight)
        share = self._feed.view.policy.processor_wait_share
        if wait_s > deadline_ms / _MS_PER_S * share:
            raise RefusalError(
                RefusalCode.OVERLOADED,
                detail='gather is busy',
                retry_after_ms=int(wait_s * _MS_PER_S),
            )

    def _has_announced(self, notices: int) -> bool:
        if self._leaving_since is None:
            return False
        notice_s = self._feed.view.policy.drain_announce_ms / _MS_PER_S
        return self._feed.clock() >= self._leaving_since + notices * notice_s

    @contextlib.contextmanager
    def _admitted(self, notices: int) -> Iterator[None]:
        """Count a request in flight; raise RefusalError while leaving."""
        if self._has_announced(notices):
            raise RefusalError(RefusalCode.LEAVING)
        self.in_flight += 1
        try:
            yield
        except InvariantViolationError as error:
            raise RefusalError(
                RefusalCode.INTERNAL,
                Ran.UNKNOWN,
                detail=error.invariant,
            ) from error
        finally:
            self.in_flight -= 1
            if self._processor:
                self._processor.note_finished()


class _Subquery:
    """Parts that the root of a query on another VM asks this one for."""

    def __init__(self, parts: GatherParts, message: SubqueryMessage) -> None:
        """Count the deadline from now."""
        self._parts = parts
        self._message = message
        self._snapshot = Snapshot(message.index_version, message.partition_map)
        # The reply must reach the root before the root's own merge ends.
        self._deadline = compute_merge_deadline(
            parts.feed.clock(),
            message.deadline_ms,
            parts.feed.view.policy.merge_margin_ms,
        )
        self._outcome_by_part = {
            part: create_missing_outcome(
                PartWork(part, shards),
                self._snapshot,
                MissingReason.LATE,
                Ran.UNKNOWN,
            )
            for part, shards in message.parts.items()
        }

    async def run(self) -> Message:
        """Return the reply; raise RefusalError when nothing was started."""
        self._parts.check_may_send(self._deadline)
        remaining_s = self._deadline - self._parts.feed.clock()
        with anyio.move_on_after(remaining_s):
            async with anyio.create_task_group() as tasks:
                for part, shards in self._message.parts.items():
                    tasks.start_soon(self._run_part, PartWork(part, shards))
        return reply_from_outcomes(
            self._snapshot,
            tuple(self._outcome_by_part.values()),
        )

    async def _run_part(self, work: PartWork) -> None:
        self._outcome_by_part[work.part] = await run_local_part(
            self._parts,
            self._message.create_part_call(
                work.part,
                work.shards,
                self._snapshot,
                self._deadline,
            ),
        )


def _parse(model: type[_Model], body: bytes) -> _Model:
    try:
        return parse_message(model, body)
    except InvalidMessageError as error:
        raise RefusalError(
            RefusalCode.INVALID_REQUEST,
            detail=str(error),
        ) from error
