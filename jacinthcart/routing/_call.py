"""Client that sends requests to searchers and tracks each attempt."""

import dataclasses
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from jacinthcart.catalogue import Route, Searcher
from jacinthcart.errors import (
    MalformedResponseError,
    NotSentError,
    OutcomeUnknownError,
    RequestMemoryError,
)
from jacinthcart.program import Clock
from jacinthcart.routing._codec import (
    BaseSearcherCodec,
    CallerRequest,
    SearcherResponse,
)
from jacinthcart.routing._health import HealthTracker, SearcherHealth
from jacinthcart.routing._outcome import INTERNAL_ERROR, Outcome, OutcomeKind
from jacinthcart.routing._pool import SearcherConnection, SearcherPools
from jacinthcart.routing._quantiles import QuantileTracker
from jacinthcart.routing._report_recorder import ReportRecorder
from jacinthcart.routing._searcher_log import SearcherLog
from jacinthcart.routing._table import RoutingTable
from jacinthcart.routing._traffic import TrafficTable
from jacinthcart.telemetry import Logger, Metrics

#: Seconds within which an abandoned attempt may still finish, so that its
#: connection can be reused and its latency is recorded.
_ABANDONED_TIMEOUT_S = 0.35
#: Median latency assumed until enough samples exist, as a fraction of the
#: route's target latency.
_DEFAULT_MEDIAN_FRACTION = 0.25
_STATUS_MISDIRECTED = 421
#: Shortest latency in seconds that a measured one is compared with.
_MIN_PREDICTED_S = 0.001
#: Number of attempts of which one is compared with its prediction.
_PREDICTION_INTERVAL = 8
#: Outcome of an attempt that is cancelled, usually as its time is over.
_CANCELLED = Outcome(OutcomeKind.UNKNOWN, 'cancelled', affects_health=False)
#: Outcome of such an attempt whose response was long and had not ended. A
#: searcher that sends without end must not get requests at the full rate.
_UNFINISHED = Outcome(OutcomeKind.UNKNOWN, 'response did not end')


@dataclasses.dataclass(frozen=True)
class CallContext:
    """Data shared by all attempts of one request."""

    request: CallerRequest
    route: Route
    #: Workspace of the caller; None on public routes.
    workspace: str | None
    #: Clock time in seconds after which a searcher no longer needs to process
    #: the request.
    deadline: float
    #: Returns whether this VM's configuration has been proven current
    #: recently enough to accept the caller's key; checked before each send.
    may_send: Callable[[], bool]
    #: Priority of the request; 0 is the most urgent.
    priority: int = 0


class Attempt:
    """One send of a request to a searcher.

    It calls its listener once, after the outcome is set. An error that the
    listener raises is logged.
    """

    def __init__(
        self,
        number: int,
        searcher: Searcher,
        on_end: Callable[['Attempt'], None],
    ) -> None:
        """Create the attempt; SearcherClient starts it."""
        self.number = number
        self.searcher = searcher
        self.started_at = 0.0
        #: Latency in seconds that was expected when the attempt started; None
        #: if it was not computed.
        self.predicted_s: float | None = None
        self.outcome: Outcome | None = None
        #: Whether a latency was recorded when the attempt was abandoned.
        self.is_latency_recorded = False
        #: Whether a long response was in progress when the exchange ended.
        self.has_unfinished_response = False
        #: Whether its response was no longer needed.
        self.is_abandoned = False
        self.scope = anyio.CancelScope()
        self._may_be_sent = False
        self._on_end: Callable[[Attempt], None] | None = on_end

    @property
    def may_have_run(self) -> bool:
        """Return whether the searcher may have run the request.

        Once the attempt is cancelled, this no longer changes from False.
        """
        is_not_run = (
            self.outcome is not None
            and self.outcome.kind is OutcomeKind.NOT_RUN
        )
        return self._may_be_sent and not is_not_run

    def begin_sending(self) -> None:
        """Record that bytes of the request may be sent from now on.

        Raise NotSentError if the attempt has been cancelled: the request may
        have been refused as not run.
        """
        if self.scope.cancel_called:
            raise NotSentError('cancelled')
        self._may_be_sent = True

    def end(self, outcome: Outcome) -> None:
        """Set the outcome and call the listener."""
        self.outcome = outcome
        # The listener is a method of what holds this attempt. As a reference
        # cycle both would remain in memory, with the response.
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(self)

    def detach_listener(self) -> None:
        """Prevent the attempt from calling its listener when it ends."""
        self._on_end = None


class SearcherClient:
    """Starts attempts and updates searcher health from their outcomes."""

    def __init__(
        self,
        pools: SearcherPools,
        table: RoutingTable,
        health_tracker: HealthTracker,
        latencies: QuantileTracker,
        codec: BaseSearcherCodec,
        clock: Clock,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Create the client; attempts can start once `run` is running."""
        self.latencies = latencies
        self.table = table
        self.clock = clock
        self._pools = pools
        self._health_tracker = health_tracker
        self._codec = codec
        self._metrics = metrics
        self._logger = logger
        self._log = SearcherLog(metrics, logger)
        self.traffic = TrafficTable(self._log, clock)
        self._reports = ReportRecorder(table, self._log)
        self._tasks: TaskGroup | None = None
        self._attempts = 0

    async def run(self) -> None:
        """Run attempts and close idle connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(1)
                await self._pools.close_idle()
                self.table.availability.remove_expired()

    def estimate_median_s(self, route: Route) -> float:
        """Return the median latency in seconds of sends on `route`.

        It is a fraction of the target while there are too few samples.
        """
        default_s = route.target_s * _DEFAULT_MEDIAN_FRACTION
        return self.latencies.quantile_s(route.name, 0.5, default_s)

    def estimate_service_time_s(self, route: Route) -> float:
        """Return how long a searcher without a queue takes on `route`.

        It is the median latency in seconds if searchers do not report the
        slowdown of their machines.
        """
        median_s = self.estimate_median_s(route)
        if route.name not in self._reports.routes_with_slowdown:
            return median_s
        return self.table.service_times.estimate_s(route.name, 0.5, median_s)

    def start(
        self,
        context: CallContext,
        searcher: Searcher,
        on_end: Callable[[Attempt], None],
    ) -> Attempt:
        """Start an attempt to send the request to `searcher`.

        Raise NotSentError if the client is not running.
        """
        self._attempts += 1
        attempt = Attempt(self._attempts, searcher, on_end)
        attempt.started_at = self.clock()
        if attempt.number % _PREDICTION_INTERVAL == 0:
            attempt.predicted_s = self.table.estimate_latency_s(
                searcher, self.estimate_service_time_s(context.route)
            )
        health = self.table.get_health(searcher)
        health.started_at_by_attempt[attempt.number] = attempt.started_at
        if self._tasks is None:
            raise NotSentError('searcher client is not running')
        self.table.record_send(searcher)
        self._tasks.start_soon(self._run, attempt, context, health)
        return attempt

    def abandon(self, attempt: Attempt, route: Route) -> None:
        """Stop waiting for an attempt whose response is no longer needed.

        The exchange may still finish within `_ABANDONED_TIMEOUT_S`, so that
        the connection can be reused.
        """
        if attempt.outcome is not None:
            return
        attempt.detach_listener()
        attempt.is_abandoned = True
        elapsed_s = self.clock() - attempt.started_at
        health = self.table.get_health(attempt.searcher)
        median_s = self.estimate_median_s(route)
        # Within the slowdown, the time so far says nothing about slowness.
        if elapsed_s > median_s * health.compute_slowdown(self.clock()):
            attempt.is_latency_recorded = True
            self._health_tracker.record_latency(health, elapsed_s, median_s)
        attempt.scope.deadline = anyio.current_time() + _ABANDONED_TIMEOUT_S

    def cancel(self, attempt: Attempt) -> None:
        """Close the connection at once, which cancels the searcher's work."""
        attempt.detach_listener()
        attempt.scope.cancel()

    async def _run(
        self,
        attempt: Attempt,
        context: CallContext,
        health: SearcherHealth,
    ) -> None:
        # A bug that one attempt triggers must not end the other attempts.
        try:
            outcome = await self._send_in_scope(attempt, context, health)
            self._record_outcome(attempt, context, health, outcome)
        except Exception as error:
            self._record_internal_error('send failed', error)
            outcome = INTERNAL_ERROR
        self._metrics.count('searcher', outcome.kind.value)
        try:
            attempt.end(outcome)
        except Exception as listener_error:
            self._record_internal_error('outcome not handled', listener_error)

    async def _send_in_scope(
        self,
        attempt: Attempt,
        context: CallContext,
        health: SearcherHealth,
    ) -> Outcome:
        outcome = _CANCELLED
        try:
            with attempt.scope:
                outcome = await self._send(attempt, context)
        finally:
            health.started_at_by_attempt.pop(attempt.number, None)
        # A caller that leaves early says nothing about the searcher.
        had_time = attempt.is_abandoned or self.clock() >= context.deadline
        if (
            outcome is _CANCELLED
            and attempt.has_unfinished_response
            and had_time
        ):
            self._metrics.count('searcher', 'unfinished_response')
            return _UNFINISHED
        return outcome

    def _record_internal_error(self, event: str, error: Exception) -> None:
        self._metrics.count('searcher', 'internal_error')
        self._logger.error(event, error=repr(error))

    async def _send(self, attempt: Attempt, context: CallContext) -> Outcome:
        searcher = attempt.searcher
        try:
            # A connection is not opened for a request that can't be sent.
            self._pools.request_memory.check(
                searcher.process, len(context.request.body)
            )
            connection = await self._pools.acquire(
                searcher,
                context.request.request_id,
                at_most_once=not context.route.is_idempotent,
            )
        except RequestMemoryError as error:
            return self._create_withheld(searcher, error)
        except NotSentError as error:
            return Outcome(OutcomeKind.NOT_RUN, str(error), was_sent=False)
        idle_timeout_s = None
        try:
            with self.traffic.observe(searcher, connection.progress):
                response = await self._exchange(connection, attempt, context)
            idle_timeout_s = response.idle_timeout_s
        except NotSentError as error:
            connection.is_usable = True
            return self._create_withheld(searcher, error)
        except OutcomeUnknownError as error:
            reason = str(error)
            if isinstance(error, MalformedResponseError):
                self._log.log_malformed_response(searcher, error)
                reason = f'malformed response: {error}'
            return Outcome(
                OutcomeKind.UNKNOWN,
                reason,
                affects_health=not (
                    connection.progress.was_discarded
                    and self._health_tracker.has_usual_length(
                        searcher.process, connection.progress.received_bytes
                    )
                ),
            )
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
            raise NotSentError('freshness proof is too old to accept the key')
        if not self.table.availability.may_send(attempt.searcher):
            raise NotSentError('searcher has asked for no more requests')
        message = self._codec.encode_request(
            context.request,
            attempt.searcher.searcher_id,
            remaining_s,
            context.workspace,
        )
        process = attempt.searcher.process
        with self._pools.request_memory.hold(process, len(message)):
            attempt.started_at = self.clock()
            # Once cancelled after this, the attempt counts as sent.
            attempt.begin_sending()
            try:
                return await connection.exchange(
                    message,
                    context.request.request_id,
                    expects_body=context.request.method != 'HEAD',
                )
            finally:
                # One of usual length may end soon; its request had little time.
                attempt.has_unfinished_response = (
                    connection.has_unfinished_response
                    and not self._health_tracker.has_usual_length(
                        process, connection.progress.received_bytes
                    )
                )

    def _create_withheld(
        self, searcher: Searcher, error: NotSentError
    ) -> Outcome:
        """Return the outcome of a send that this VM decided against."""
        if isinstance(error, RequestMemoryError):
            held_bytes = self._pools.request_memory.held_bytes
            self._log.log_withheld(searcher, held_bytes, error)
        return Outcome(
            OutcomeKind.NOT_RUN,
            str(error),
            was_sent=False,
            affects_health=False,
        )

    def _record_statements(
        self, searcher: Searcher, response: SearcherResponse
    ) -> None:
        availability = self.table.availability
        if response.is_leaving and availability.record_leaving(searcher):
            self._log.log_leaving(searcher)
        if response.retry_after_s is not None:
            self._metrics.count('searcher', 'retry_after')
            availability.record_retry_after(searcher, response.retry_after_s)

    def _record_outcome(
        self,
        attempt: Attempt,
        context: CallContext,
        health: SearcherHealth,
        outcome: Outcome,
    ) -> None:
        response = outcome.response
        if response is None:
            if outcome.affects_health:
                self._health_tracker.record_failure(health)
            return
        self._record_statements(attempt.searcher, response)
        if response.has_malformed_load:
            self._log.log_malformed_load(attempt.searcher)
        load = response.load
        if load is not None:
            self._health_tracker.record_load(health, load)
        if outcome.kind is OutcomeKind.NOT_RUN:
            if response.head.status == _STATUS_MISDIRECTED:
                self._health_tracker.record_failure(health)
            else:
                self._health_tracker.record_shed(health)
            return
        if not response.is_success:
            self._health_tracker.record_failure(health)
            return
        latency_s = self.clock() - attempt.started_at
        route = context.route
        median_s = self.estimate_median_s(route)
        self._health_tracker.record_success(health)
        self._health_tracker.record_length(health, len(response.body))
        # Before the latency is recorded, because that uses the slowdown.
        self._reports.check(
            attempt.searcher,
            load,
            latency_s,
            self.estimate_service_time_s(route),
        )
        if not attempt.is_latency_recorded:
            self._health_tracker.record_latency(health, latency_s, median_s)
        self.latencies.add(route.name, latency_s)
        if load is not None:
            self._reports.record_service_time(
                attempt.searcher, route, load, latency_s
            )
        if attempt.predicted_s is not None:
            self._metrics.record_ratio(
                ('prediction', route.name),
                latency_s / max(attempt.predicted_s, _MIN_PREDICTED_S),
            )
