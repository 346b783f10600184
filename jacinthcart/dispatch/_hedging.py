"""Hedging: second copies of slow idempotent requests."""

import collections
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from jacinthcart.dispatch._budget import ExtraRequestBudget
from jacinthcart.dispatch._link import SearcherLink
from jacinthcart.dispatch._messages import PartCall
from jacinthcart.dispatch._outcome import MissingReason, Outcome, Progress
from jacinthcart.dispatch._replicas import PartKey, Replica
from jacinthcart.errors import InvariantViolationError
from jacinthcart.feed import StateFeed
from jacinthcart.telemetry import DecisionLog, Metrics

#: A quantile over fewer latencies is too uncertain to act on.
_MIN_SAMPLES = 20
#: Computing a quantile scans the whole histogram, so the result is cached.
_DELAY_CACHE_TTL_S = 2.0

#: Outcome of a copy that was cancelled or ended with an error.
_STOPPED = Outcome(Progress.UNKNOWN, MissingReason.FAILED)

#: Runs a request on a link; sets the event just before the request is sent.
Attempt = Callable[[SearcherLink, anyio.Event], Awaitable[Outcome]]
#: Returns a link with a free slot for a hedge, or None.
ChooseHedge = Callable[[], SearcherLink | None]


class _Race:
    """Concurrent copies of one request; the first reply decides."""

    def __init__(self, attempt: Attempt) -> None:
        """Start without running copies."""
        self.decided = anyio.Event()
        self.outcomes: list[Outcome] = []
        self.error: InvariantViolationError | None = None
        self._attempt = attempt
        self._running: list[SearcherLink] = []

    def is_running(self, link: SearcherLink) -> bool:
        """Return whether the copy on `link` is still running."""
        return link in self._running

    async def run(self, link: SearcherLink, sending: anyio.Event) -> None:
        """Run one copy on `link`."""
        self._running.append(link)
        outcome = _STOPPED
        try:
            outcome = await self._attempt(link, sending)
        except InvariantViolationError as error:
            # A task group would wrap the error, so the caller raises it.
            self.error = error
            self.decided.set()
        finally:
            self._record_end(link, outcome)

    def _record_end(self, link: SearcherLink, outcome: Outcome) -> None:
        self._running.remove(link)
        self.outcomes.append(outcome)
        if outcome.reply is not None or not self._running:
            self.decided.set()


class Hedger:
    """Sends a second copy of a request after a quantile of the part's latency.

    The ratio of hedges to ordinary requests is limited. The losing copy
    is cancelled, unless only its response would show the searcher's state
    or the searcher is being warmed. If it were cancelled then, a searcher
    that turned cold and is slower than every hedge would keep receiving
    requests without being detected as cold, and a searcher being warmed
    would receive more concurrent requests than it can handle.
    """

    def __init__(
        self,
        feed: StateFeed,
        metrics: Metrics,
        decisions: DecisionLog,
        must_finish: Callable[[Replica], bool],
    ) -> None:
        """Start without cached delays and without budget."""
        #: Task group of copies that outlive their call; None until the
        #: dispatcher's `run` sets it.
        self.background: TaskGroup | None = None
        self._must_finish = must_finish
        self._feed = feed
        self._metrics = metrics
        self._decisions = decisions
        self._budgets_by_service: dict[str, ExtraRequestBudget] = {}
        #: Time of computation and hedge delay, both in seconds.
        self._cached_delays_by_part: dict[
            PartKey, tuple[float, float | None]
        ] = {}
        self._hedges_by_service: collections.Counter[str] = (
            collections.Counter()
        )

    async def run(
        self,
        call: PartCall,
        link: SearcherLink,
        attempt: Attempt,
        choose_hedge: ChooseHedge,
    ) -> list[Outcome]:
        """Run a request on `link` and hedge it if it is slow.

        Return the outcomes of the copies that have ended. A copy that must
        not be cancelled continues in the background.
        """
        self._deposit(call.service_id)
        delay_s = self._get_delay_s(call)
        if delay_s is None:
            outcomes = [await attempt(link, anyio.Event())]
        else:
            outcomes = await self._run_race(
                link,
                _Race(attempt),
                delay_s,
                lambda: self._start_hedge(call, choose_hedge),
            )
        for outcome in outcomes:
            if outcome.latency_s is not None:
                self._metrics.record_seconds(
                    ('part', call.service_id, call.part),
                    outcome.latency_s,
                )
        return outcomes

    def record_decisions(self) -> None:
        """Write one record per service of the hedges since the last call."""
        for service_id, hedges in self._hedges_by_service.items():
            self._decisions.record(
                'hedge',
                service_id,
                reason='slower than the quantile of the part',
                observation=f'{hedges} hedges since the last record',
                setting='hedge_budget',
            )
        self._hedges_by_service.clear()

    async def _run_race(
        self,
        link: SearcherLink,
        race: _Race,
        delay_s: float,
        start_hedge: ChooseHedge,
    ) -> list[Outcome]:
        sending = anyio.Event()

        async def hedge_after_delay() -> None:
            await sending.wait()
            await anyio.sleep(delay_s)
            hedge_link = start_hedge()
            if hedge_link is None:
                return
            started_at = self._feed.clock()
            self._start(tasks, race, hedge_link, anyio.Event())
            await race.decided.wait()
            if race.is_running(link):
                # This is a lower bound on the losing copy's latency.
                elapsed_s = self._feed.clock() - started_at
                link.record_latency(delay_s + elapsed_s)

        async with anyio.create_task_group() as tasks:
            self._start(tasks, race, link, sending)
            tasks.start_soon(hedge_after_delay)
            await race.decided.wait()
            tasks.cancel_scope.cancel()
        if race.error is not None:
            raise race.error
        return race.outcomes

    def _start(
        self,
        tasks: TaskGroup,
        race: _Race,
        link: SearcherLink,
        sending: anyio.Event,
    ) -> None:
        if self._must_finish(link.replica) and self.background:
            tasks = self.background
        tasks.start_soon(race.run, link, sending)

    def _start_hedge(
        self,
        call: PartCall,
        choose_hedge: ChooseHedge,
    ) -> SearcherLink | None:
        hedge_link = choose_hedge()
        if (
            hedge_link is None
            or not self._get_budget(call.service_id).try_withdraw()
        ):
            return None
        self._hedges_by_service[call.service_id] += 1
        self._metrics.count('hedge', call.service_id)
        return hedge_link

    def _deposit(self, service_id: str) -> None:
        ratio = self._feed.view.policy.hedge_budget
        self._get_budget(service_id).deposit(ratio)

    def _get_budget(self, service_id: str) -> ExtraRequestBudget:
        return self._budgets_by_service.setdefault(
            service_id, ExtraRequestBudget()
        )

    def _get_delay_s(self, call: PartCall) -> float | None:
        policy = self._feed.view.policy
        is_allowed = policy.hedging_enabled and policy.hedge_budget > 0
        if call.is_submit or policy.automatic_changes_frozen or not is_allowed:
            return None
        now = self._feed.clock()
        part_key = (call.service_id, call.part)
        cached_at, delay_s = self._cached_delays_by_part.get(
            part_key, (None, None)
        )
        if cached_at is None or now - cached_at >= _DELAY_CACHE_TTL_S:
            delay_s = self._metrics.quantile_seconds(
                ('part', *part_key),
                policy.hedge_quantile,
                _MIN_SAMPLES,
            )
            self._cached_delays_by_part[part_key] = (now, delay_s)
        return delay_s
