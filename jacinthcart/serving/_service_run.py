"""Execution of a request on one service: first send, retries and a hedge."""

import math
from collections.abc import Callable

from jacinthcart.catalogue import Searcher
from jacinthcart.routing import (
    INTERNAL_ERROR,
    Attempt,
    CallContext,
    ExtraSendBudget,
    Outcome,
    OutcomeKind,
    SearcherClient,
    SearcherResponse,
)
from jacinthcart.serving._candidates import Candidates
from jacinthcart.serving._hedging import SendParameters, compute_hedge_delay_s
from jacinthcart.serving._policy import HoldPolicy


class ServiceRun:
    """Executes one request on one service.

    A request that is not idempotent is retried only after an outcome that
    shows that it did not run.
    """

    def __init__(
        self,
        context: CallContext,
        service: str,
        client: SearcherClient,
        budget: ExtraSendBudget,
        params: SendParameters,
        hold_policy: HoldPolicy,
        on_change: Callable[[], None],
    ) -> None:
        """Create the run; `start` sends the request.

        `on_change` is called after a send has ended.
        """
        self.service = service
        self.response: SearcherResponse | None = None
        self.failure: Outcome | None = None
        self.wake_at = math.inf
        self._context = context
        self._client = client
        self._budget = budget
        self._params = params
        self._on_change = on_change
        self.ended_sends: list[str] = []
        self._attempts: list[Attempt] = []
        self._pending: list[Attempt] = []
        self._candidates = Candidates(context, service, client, hold_policy)
        #: Failed sends that a searcher may have run.
        self._executions = 0
        #: Ended sends of which at least one byte was sent.
        self._delivered = 0
        self._has_hedged = False
        self._has_internal_error = False
        self._last_outcome = Outcome(OutcomeKind.NOT_RUN, 'not sent')
        self._target_at = context.request.received_at + context.route.target_s

    @property
    def is_done(self) -> bool:
        """Return whether there is a successful response or a final failure."""
        return self.response is not None or self.failure is not None

    @property
    def may_have_run(self) -> bool:
        """Return whether any searcher may have run the request."""
        return self._has_internal_error or any(
            attempt.may_have_run for attempt in self._attempts
        )

    def describe(self) -> str:
        """Return why there is no successful response, for logs."""
        if self.failure is not None:
            return f'{self.service}: {self.failure.reason}'
        if not self._attempts:
            return f'{self.service}: held back, its searchers are overloaded'
        if not self._pending:
            reason = self._last_outcome.reason
            return f'{self.service}: {reason}, waiting to retry'
        waiting = [attempt.searcher.searcher_id for attempt in self._pending]
        return f'{self.service}: no response from {", ".join(waiting)}'

    def start(self) -> None:
        """Send the request to a searcher, or hold it back."""
        self._budget.earn(self.service)
        self._send_first()

    def tick(self, now: float) -> None:
        """Perform the action that is due at `now`: a send, hedge or retry."""
        if self.is_done or now < self.wake_at:
            return
        self.wake_at = math.inf
        if self._pending:
            self._hedge(now)
        elif not self._attempts:
            self._send_first()
        else:
            self._retry(self._last_outcome)

    def abandon(self) -> None:
        """Stop waiting for sends whose responses are not needed."""
        for attempt in self._pending:
            self._client.abandon(attempt, self._context.route)
        self._pending.clear()

    def cancel(self) -> None:
        """Cancel unanswered sends and the searchers' work on them at once."""
        for attempt in self._pending:
            self._client.cancel(attempt)
        self._pending.clear()

    def _send_first(self) -> None:
        searcher = self._candidates.choose(includes_backed_off=True)
        if searcher is None:
            earliest_send = self._candidates.compute_earliest_send()
            outcome = Outcome(
                OutcomeKind.NOT_RUN,
                'no searcher',
                was_sent=False,
            )
            self._wait_or_fail(
                outcome, earliest_send, may_wait=earliest_send < self._target_at
            )
        elif self._candidates.should_hold(searcher):
            self.wake_at = self._client.clock() + self._params.retry_delay_s
        else:
            self._send(searcher)

    def _hedge(self, now: float) -> None:
        route = self._context.route
        if self._has_hedged or not route.is_idempotent:
            return
        if self._executions + len(self._pending) >= route.attempts:
            return
        searcher = self._candidates.choose(includes_backed_off=False)
        if searcher is None or not self._budget.take(
            self.service,
            self._params.hedge_reserve,
        ):
            self.wake_at = now + max(
                self._params.retry_delay_s,
                self._client.estimate_median_s(route),
            )
            return
        self._has_hedged = True
        self._send(searcher)

    def _on_end(self, attempt: Attempt) -> None:
        try:
            self._handle_end(attempt)
        except Exception:
            # The state may be inconsistent, so the request ends, and no send
            # counts as not run.
            self.cancel()
            self._has_internal_error = True
            self.response = None
            self.failure = INTERNAL_ERROR
            raise
        finally:
            self._on_change()

    def _handle_end(self, attempt: Attempt) -> None:
        outcome = attempt.outcome
        if attempt in self._pending:
            self._pending.remove(attempt)
        if self.is_done or outcome is None:
            return
        self.ended_sends.append(
            f'{attempt.searcher.searcher_id} {outcome.reason}',
        )
        if outcome.was_sent:
            self._delivered += 1
        if outcome.is_success:
            self.response = outcome.response
            self.abandon()
            return
        if outcome.kind is not OutcomeKind.NOT_RUN:
            self._executions += 1
            if not self._context.route.is_idempotent:
                self.failure = outcome
                return
        if not self._pending:
            self._retry(outcome)

    def _retry(self, outcome: Outcome) -> None:
        self._last_outcome = outcome
        route = self._context.route
        now = self._client.clock()
        retry_at = now + self._params.retry_delay_s
        is_exhausted = (
            self._executions >= route.attempts
            or len(self._attempts) >= self._params.max_sends
            or now >= self._context.deadline
            or not self._context.may_send()
        )
        if is_exhausted:
            self.failure = outcome
            return
        searcher = self._candidates.choose(includes_backed_off=True)
        if searcher is None:
            is_refused = (
                outcome.kind is OutcomeKind.NOT_RUN and outcome.was_sent
            )
            may_wait = is_refused and bool(self._candidates.tried)
            self._candidates.tried.clear()
            # A searcher that asked to wait beyond the target is not waited
            # for, because an answer after the target has little value.
            earliest_send = self._candidates.compute_earliest_send()
            may_wait = may_wait and earliest_send < max(now, self._target_at)
            self._wait_or_fail(
                outcome, max(retry_at, earliest_send), may_wait=may_wait
            )
            return
        is_extra = self._delivered > 0
        if is_extra and not self._budget.take(self.service):
            # The first sends of other requests refill the budget while this
            # one waits. After the target an answer has little value, so the
            # request fails at once.
            may_wait = retry_at < self._target_at
            self._wait_or_fail(outcome, retry_at, may_wait=may_wait)
            return
        self._send(searcher)

    def _wait_or_fail(
        self,
        outcome: Outcome,
        wake_at: float,
        *,
        may_wait: bool,
    ) -> None:
        if may_wait:
            self.wake_at = wake_at
        else:
            self.failure = outcome

    def _send(self, searcher: Searcher) -> None:
        self._candidates.tried.add(searcher.searcher_id)
        attempt = self._client.start(
            self._context,
            searcher,
            self._on_end,
        )
        self._attempts.append(attempt)
        self._pending.append(attempt)
        if self._context.route.is_idempotent and not self._has_hedged:
            self.wake_at = attempt.started_at + compute_hedge_delay_s(
                self._client,
                self._context.route,
                self._target_at - attempt.started_at,
                self._params,
            )
