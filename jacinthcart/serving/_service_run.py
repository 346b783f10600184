"""One request at one service: first send, resends and a hedge."""

import math
from collections.abc import Callable

from jacinthcart.catalogue import Searcher
from jacinthcart.routing import (
    Attempt,
    CallContext,
    ExtraSendBudget,
    Outcome,
    OutcomeKind,
    SearcherClient,
    SearcherResponse,
)
from jacinthcart.serving._candidates import Candidates
from jacinthcart.serving._hedging import SendParameters, find_hedge_delay_s
from jacinthcart.serving._policy import HoldPolicy


class ServiceRun:
    """Carries one request to an answer of one service.

    A request that may run only once is sent again only after an outcome
    that proves that it did not run.
    """

    def __init__(
        self,
        context: CallContext,
        service: str,
        calls: SearcherClient,
        budget: ExtraSendBudget,
        terms: SendParameters,
        hold_policy: HoldPolicy,
        on_change: Callable[[], None],
    ) -> None:
        """Prepare; `start` sends."""
        self.service = service
        self.response: SearcherResponse | None = None
        self.failure: Outcome | None = None
        self.may_have_run = False
        self.wake_at = math.inf
        self._context = context
        self._calls = calls
        self._budget = budget
        self._terms = terms
        self._on_change = on_change
        self.ended_sends: list[str] = []
        self._pending: list[Attempt] = []
        self._candidates = Candidates(context, service, calls, hold_policy)
        self._runs = 0
        self._arrivals = 0
        self._sends = 0
        self._has_hedged = False
        self._last_outcome = Outcome(OutcomeKind.NOT_RUN, 'not sent')
        self._target_at = context.request.received_at + context.route.target_s

    @property
    def is_done(self) -> bool:
        """Return whether there is an answer or a final failure."""
        return self.response is not None or self.failure is not None

    @property
    def was_sent(self) -> bool:
        """Return whether any send was started."""
        return self._sends > 0

    def describe(self) -> str:
        """Return why there is no answer, for logs."""
        if self.failure is not None:
            return f'{self.service}: {self.failure.reason}'
        if not self.was_sent:
            return f'{self.service}: held back, its searchers are overloaded'
        if not self._pending:
            reason = self._last_outcome.reason
            return f'{self.service}: {reason}, waits to be sent again'
        waiting = [attempt.searcher.searcher_id for attempt in self._pending]
        return f'{self.service}: no answer of {", ".join(waiting)}'

    def start(self) -> None:
        """Send to the first searcher, or hold the request back."""
        self._budget.earn(self.service)
        self._send_first()

    def tick(self, now: float) -> None:
        """Do what is due at `now`: a hedge or another try."""
        if self.is_done or now < self.wake_at:
            return
        self.wake_at = math.inf
        if self._pending:
            self._hedge(now)
        elif not self.was_sent:
            self._send_first()
        else:
            self._resend(self._last_outcome)

    def abandon(self) -> None:
        """Stop waiting for sends whose answers are not needed."""
        for attempt in self._pending:
            self._calls.abandon(attempt, self._context.route)
        self._pending.clear()

    def cancel(self) -> None:
        """Stop the searchers' work at once."""
        for attempt in self._pending:
            self._calls.cancel(attempt)
        self._pending.clear()

    def _send_first(self) -> None:
        searcher = self._candidates.choose(allows_paused=True)
        if searcher is None:
            opening = self._candidates.find_opening()
            outcome = Outcome(
                OutcomeKind.NOT_RUN,
                'no searcher',
                was_sent=False,
            )
            self._wait_or_fail(
                outcome, opening, may_wait=opening < self._target_at
            )
        elif self._candidates.should_hold(searcher):
            self.wake_at = self._calls.clock() + self._terms.retry_s
        else:
            self._send(searcher)

    def _hedge(self, now: float) -> None:
        route = self._context.route
        if self._has_hedged or not route.is_idempotent:
            return
        if self._runs + len(self._pending) >= route.attempts:
            return
        searcher = self._candidates.choose(allows_paused=False)
        if searcher is None or not self._budget.take(
            self.service,
            self._terms.hedge_reserve,
        ):
            self.wake_at = now + max(
                self._terms.retry_s,
                self._calls.usual_s(route),
            )
            return
        self._has_hedged = True
        self._send(searcher)

    def _on_end(self, attempt: Attempt) -> None:
        outcome = attempt.outcome
        if attempt in self._pending:
            self._pending.remove(attempt)
        if self.is_done or outcome is None:
            return
        self.ended_sends.append(
            f'{attempt.searcher.searcher_id} {outcome.reason}',
        )
        if outcome.was_sent:
            self._arrivals += 1
        if outcome.is_success:
            self.response = outcome.response
            self.abandon()
        else:
            self._take_failure(outcome)
        self._on_change()

    def _take_failure(self, outcome: Outcome) -> None:
        is_idempotent = self._context.route.is_idempotent
        if outcome.kind is not OutcomeKind.NOT_RUN:
            self.may_have_run = True
            self._runs += 1
            if not is_idempotent:
                self.failure = outcome
                return
        if not self._pending:
            self._resend(outcome)

    def _resend(self, outcome: Outcome) -> None:
        self._last_outcome = outcome
        route = self._context.route
        now = self._calls.clock()
        retry_at = now + self._terms.retry_s
        is_spent = (
            self._runs >= route.attempts
            or self._sends >= self._terms.sends
            or now >= self._context.deadline
            or not self._context.may_send()
        )
        if is_spent:
            self.failure = outcome
            return
        searcher = self._candidates.choose(allows_paused=True)
        if searcher is None:
            is_refused = (
                outcome.kind is OutcomeKind.NOT_RUN and outcome.was_sent
            )
            may_wait = is_refused and bool(self._candidates.met)
            self._candidates.met.clear()
            self._wait_or_fail(outcome, retry_at, may_wait=may_wait)
            return
        is_extra = self._arrivals > 0
        if is_extra and not self._budget.take(self.service):
            # Other requests earn budget meanwhile. After the target an
            # answer brings little, so the request ends at once.
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
        self._candidates.met.add(searcher.searcher_id)
        self._sends += 1
        attempt = self._calls.start(
            self._context,
            searcher,
            self._on_end,
        )
        self._pending.append(attempt)
        if self._context.route.is_idempotent and not self._has_hedged:
            self.wake_at = attempt.started_at + find_hedge_delay_s(
                self._calls,
                self._context.route,
                self._target_at - attempt.started_at,
                self._terms,
            )
