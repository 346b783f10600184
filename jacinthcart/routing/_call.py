"""Attempts: one request on its way to one searcher."""

import dataclasses
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from jacinthcart.catalogue import Route, Searcher
from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.program import Clock
from jacinthcart.routing._codec import (
    BaseSearcherCodec,
    CallerRequest,
    SearcherResponse,
)
from jacinthcart.routing._evidence import HealthTracker, SearcherHealth
from jacinthcart.routing._outcome import Outcome, OutcomeKind
from jacinthcart.routing._pool import SearcherConnection, SearcherPools
from jacinthcart.routing._quantiles import QuantileTracker
from jacinthcart.routing._table import RoutingTable
from jacinthcart.telemetry import Logger, Metrics

#: Seconds for which an attempt that lost may still end by itself, so that
#: its connection and its latency are kept.
_LINGER_S = 0.35
#: Latency assumed before any is known, as a part of the route's target.
_FIRST_USUAL_SHARE = 0.25
_STATUS_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True)
class CallContext:
    """What all attempts of one request share."""

    request: CallerRequest
    route: Route
    #: Workspace of the caller; None on public routes.
    workspace: str | None
    #: Moment (s) after which no searcher has to work on the request.
    deadline: float
    #: Returns whether the caller's key is still proven; checked before
    #: each send.
    may_send: Callable[[], bool]


class Attempt:
    """One send; ends with an outcome and calls its listener once."""

    def __init__(
        self,
        number: int,
        searcher: Searcher,
        on_end: Callable[['Attempt'], None],
    ) -> None:
        """Prepare; SearcherClient starts it."""
        self.number = number
        self.searcher = searcher
        self.started_at = 0.0
        self.outcome: Outcome | None = None
        #: Whether its latency was counted before it ended.
        self.is_counted = False
        self.scope = anyio.CancelScope()
        self._on_end: Callable[[Attempt], None] | None = on_end

    def end(self, outcome: Outcome) -> None:
        """Take the outcome."""
        self.outcome = outcome
        if self._on_end is not None:
            self._on_end(self)

    def forget(self) -> None:
        """Let the attempt end without its listener."""
        self._on_end = None


class SearcherClient:
    """Starts attempts and learns from how they end."""

    def __init__(
        self,
        pools: SearcherPools,
        table: RoutingTable,
        evidence: HealthTracker,
        delays: QuantileTracker,
        codec: BaseSearcherCodec,
        clock: Clock,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Keep the collaborators; `run` must be running."""
        self.delays = delays
        self.table = table
        self.clock = clock
        self._pools = pools
        self._evidence = evidence
        self._codec = codec
        self._metrics = metrics
        self._logger = logger
        self._tasks: TaskGroup | None = None
        self._attempts = 0

    async def run(self) -> None:
        """Carry attempts until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(1)
                await self._pools.close_idle()

    def usual_s(self, route: Route) -> float:
        """Return the median latency of a route's sends in seconds."""
        default_s = route.target_s * _FIRST_USUAL_SHARE
        return self.delays.quantile_s(route.name, 0.5, default_s)

    def start(
        self,
        context: CallContext,
        searcher: Searcher,
        on_end: Callable[[Attempt], None],
    ) -> Attempt:
        """Start sending a request to a searcher."""
        self._attempts += 1
        attempt = Attempt(self._attempts, searcher, on_end)
        attempt.started_at = self.clock()
        evidence = self.table.find_evidence(searcher)
        evidence.started_at_by_attempt[attempt.number] = attempt.started_at
        if self._tasks is None:
            raise NotSentError('searcher calls are not running')
        self.table.note_send(searcher)
        self._tasks.start_soon(self._run, attempt, context, evidence)
        return attempt

    def abandon(self, attempt: Attempt, route: Route) -> None:
        """Stop waiting for an attempt whose answer is not needed.

        The searcher's work is not stopped at once, so that the connection
        stays usable.
        """
        if attempt.outcome is not None:
            return
        attempt.forget()
        elapsed_s = self.clock() - attempt.started_at
        evidence = self.table.find_evidence(attempt.searcher)
        if elapsed_s > self.usual_s(route):
            attempt.is_counted = True
            self._evidence.note_latency(
                evidence,
                elapsed_s,
                self.usual_s(route),
            )
        attempt.scope.deadline = anyio.current_time() + _LINGER_S

    def cancel(self, attempt: Attempt) -> None:
        """Stop the searcher's work at once by closing the connection."""
        attempt.forget()
        attempt.scope.cancel()

    async def _run(
        self,
        attempt: Attempt,
        context: CallContext,
        evidence: SearcherHealth,
    ) -> None:
        outcome = Outcome(OutcomeKind.UNKNOWN, 'cancelled', is_evidence=False)
        try:
            with attempt.scope:
                outcome = await self._send(attempt, context)
        except Exception as error:
            # A fault of this program in one send must not end the others.
            self._metrics.count('searcher', 'internal_error')
            self._logger.error('send failed', error=repr(error))
            outcome = Outcome(
                OutcomeKind.UNKNOWN,
                'internal error',
                is_evidence=False,
            )
        finally:
            evidence.started_at_by_attempt.pop(attempt.number, None)
        self._learn(attempt, context, evidence, outcome)
        attempt.end(outcome)

    async def _send(self, attempt: Attempt, context: CallContext) -> Outcome:
        searcher = attempt.searcher
        try:
            connection = await self._pools.acquire(
                searcher,
                runs_once=not context.route.is_idempotent,
            )
        except NotSentError as error:
            return Outcome(OutcomeKind.NOT_RUN, str(error), was_sent=False)
        idle_timeout_s = None
        try:
            response = await self._exchange(connection, attempt, context)
            idle_timeout_s = response.idle_timeout_s
        except NotSentError as error:
            connection.is_usable = True
            return Outcome(
                OutcomeKind.NOT_RUN,
                str(error),
                was_sent=False,
                is_evidence=False,
            )
        except OutcomeUnknownError as error:
            return Outcome(OutcomeKind.UNKNOWN, str(error))
        finally:
            with anyio.CancelScope(shield=True):
                await self._pools.release(searcher, connection, idle_timeout_s)
        kind = OutcomeKind.ANSWERED
        if response.is_not_run:
            kind = OutcomeKind.NOT_RUN
        return Outcome(kind, f'status {response.head.status}', response)

    async def _exchange(
        self,
        connection: SearcherConnection,
        attempt: Attempt,
        context: CallContext,
    ) -> SearcherResponse:
        remaining_s = context.deadline - self.clock()
        if remaining_s <= 0:
            raise NotSentError('deadline passed')
        if not context.may_send():
            raise NotSentError('key is no longer proven')
        message = self._codec.encode_request(
            context.request,
            attempt.searcher.searcher_id,
            remaining_s,
            context.workspace,
        )
        attempt.started_at = self.clock()
        return await connection.exchange(message, context.request.request_id)

    def _learn(
        self,
        attempt: Attempt,
        context: CallContext,
        evidence: SearcherHealth,
        outcome: Outcome,
    ) -> None:
        self._metrics.count('searcher', outcome.kind.value)
        response = outcome.response
        if response is None:
            if outcome.is_evidence:
                self._evidence.note_failure(evidence)
            return
        if response.load is not None:
            self._evidence.note_load(evidence, response.load)
        if outcome.kind is OutcomeKind.NOT_RUN:
            if response.head.status == _STATUS_MISDIRECTED:
                self._evidence.note_failure(evidence)
            else:
                self._evidence.note_shed(evidence)
            return
        if not response.is_success:
            self._evidence.note_failure(evidence)
            return
        latency_s = self.clock() - attempt.started_at
        route = context.route
        usual_s = self.usual_s(route)
        self._evidence.note_success(evidence)
        if not attempt.is_counted:
            self._evidence.note_latency(evidence, latency_s, usual_s)
        self.delays.add(route.name, latency_s)
