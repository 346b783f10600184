"""Request handling of the gather: queries, subqueries and the report."""

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
from jacinthcart.gather._context import GatherContext
from jacinthcart.gather._fanout import run_local_part
from jacinthcart.gather._messages import (
    QueryMessage,
    SubqueryMessage,
    parse_message,
)
from jacinthcart.gather._outcomes import (
    MissingReason,
    PartRequest,
    create_missing_outcome,
    reply_from_outcomes,
)
from jacinthcart.gather._processor import ProcessorWaitEstimator
from jacinthcart.gather._query import QueryRunner, compute_merge_deadline
from jacinthcart.gather._request_ids import RequestIdRegistry
from jacinthcart.telemetry import DecisionLog

Message = dict[str, Any]

_MS_PER_S = 1000
#: Multiples of `drain_announce_ms` after which new requests are refused. The
#: entry of this VM accepts requests for one such period after the same signal,
#: and the last requests that it accepts must still run here.
_PEER_DRAIN_PERIODS = 1
_LOCAL_DRAIN_PERIODS = 2

_Model = TypeVar('_Model', QueryMessage, SubqueryMessage)


class GatherService:
    """Runs queries from entries and subqueries from other gathers.

    Queries come from this VM's entry; submits also come from the entries of
    other VMs when this VM is the home of their request id.
    """

    def __init__(
        self,
        context: GatherContext,
        request_ids: RequestIdRegistry,
        decisions: DecisionLog,
        wait_estimator: ProcessorWaitEstimator | None = None,
    ) -> None:
        """Store the dependencies shared by all requests.

        Without `wait_estimator` no query is refused because of a busy core.
        """
        self.in_flight = 0
        self._wait_estimator = wait_estimator
        self._context = context
        self._feed = context.feed
        self._request_ids = request_ids
        self._decisions = decisions
        self._runner = QueryRunner(context, request_ids)
        self._leaving_since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether a graceful shutdown has begun."""
        return self._leaving_since is not None

    @property
    def refuses_requests(self) -> bool:
        """Return whether all new requests are refused due to a shutdown."""
        return self._has_been_leaving_for(_LOCAL_DRAIN_PERIODS)

    def start_leaving(self) -> None:
        """Refuse subqueries after `drain_announce_ms`, then also queries."""
        self._leaving_since = self._feed.clock()

    async def run_query(self, body: bytes) -> Message:
        """Answer `POST /v1/queries`; raise RefusalError."""
        message = _parse(QueryMessage, body)
        started = self._feed.clock()
        self._check_processor_wait(message.deadline_ms)
        with self._admit(_LOCAL_DRAIN_PERIODS):
            answer = await self._runner.run(message)
        metrics = self._context.metrics
        seconds = self._feed.clock() - started
        service_id = message.service_id
        # The entry records `request`. The administration API adds up the
        # histograms of both programs by key, so this key must differ.
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
        with self._admit(_PEER_DRAIN_PERIODS):
            return await _Subquery(self._context, message).run()

    def create_prefix(self) -> Message:
        """Answer `GET /v1/request-id-prefix`."""
        return {'prefix': self._request_ids.create_prefix()}

    def create_report(self) -> Message:
        """Answer `GET /v1/report`."""
        return {
            'metrics': self._context.metrics.export(),
            'decisions': [
                dataclasses.asdict(decision)
                for decision in self._decisions.list_newest()
            ],
            'dispatcher': self._context.dispatcher.describe(),
            'peers': self._context.peers.describe(),
            'in_flight': self.in_flight,
            'request_ids': len(self._request_ids),
        }

    def count_refusal(self, refusal: RefusalError) -> None:
        """Count a refusal by its code and `ran` value."""
        self._context.metrics.count('refusal', refusal.code, refusal.ran)

    def _check_processor_wait(self, deadline_ms: float) -> None:
        """Refuse a query that would wait too long for the CPU.

        The limit is the fraction `processor_wait_share` of its deadline.
        """
        if self._wait_estimator is None:
            return
        wait_s = self._wait_estimator.estimate_wait_s(self.in_flight)
        fraction = self._feed.view.policy.processor_wait_share
        if wait_s > deadline_ms / _MS_PER_S * fraction:
            raise RefusalError(
                RefusalCode.OVERLOADED,
                detail='gather is busy',
                retry_after_ms=int(wait_s * _MS_PER_S),
            )

    def _has_been_leaving_for(self, periods: int) -> bool:
        if self._leaving_since is None:
            return False
        period_s = self._feed.view.policy.drain_announce_ms / _MS_PER_S
        return self._feed.clock() >= self._leaving_since + periods * period_s

    @contextlib.contextmanager
    def _admit(self, periods: int) -> Iterator[None]:
        """Count a request in flight.

        Raise RefusalError when the shutdown began at least `periods` times
        `drain_announce_ms` ago.
        """
        if self._has_been_leaving_for(periods):
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
            if self._wait_estimator:
                self._wait_estimator.record_finished()


class _Subquery:
    """Runs parts of a query for the query root on another VM."""

    def __init__(
        self,
        context: GatherContext,
        message: SubqueryMessage,
    ) -> None:
        """Compute the deadline from the current time."""
        self._context = context
        self._message = message
        self._snapshot = Snapshot(message.index_version, message.partition_map)
        # The reply must reach the query root before its own merge deadline.
        self._deadline = compute_merge_deadline(
            context.feed.clock(),
            message.deadline_ms,
            context.feed.view.policy.merge_margin_ms,
        )
        self._outcome_by_part = {
            part: create_missing_outcome(
                PartRequest(part, shards),
                self._snapshot,
                MissingReason.LATE,
                Ran.UNKNOWN,
            )
            for part, shards in message.parts.items()
        }

    async def run(self) -> Message:
        """Return the reply; raise RefusalError when nothing was started."""
        self._context.check_may_send(self._deadline)
        remaining_s = self._deadline - self._context.feed.clock()
        with anyio.move_on_after(remaining_s):
            async with anyio.create_task_group() as tasks:
                for part, shards in self._message.parts.items():
                    tasks.start_soon(self._run_part, PartRequest(part, shards))
        return reply_from_outcomes(
            self._snapshot,
            tuple(self._outcome_by_part.values()),
        )

    async def _run_part(self, request: PartRequest) -> None:
        self._outcome_by_part[request.part] = await run_local_part(
            self._context,
            self._message.create_part_call(
                request.part,
                request.shards,
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
