"""Runs part calls on the searchers that this VM may send to."""

import functools
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import anyio

from jacinthcart.dispatch._allowances import AllowanceTracker, must_finish
from jacinthcart.dispatch._budget import ExtraRequestBudget
from jacinthcart.dispatch._choice import choose_link
from jacinthcart.dispatch._client import OpenSearcherClient
from jacinthcart.dispatch._hedging import Hedger
from jacinthcart.dispatch._link import SearcherLink
from jacinthcart.dispatch._links import LinkTable
from jacinthcart.dispatch._messages import PartCall, PartResult
from jacinthcart.dispatch._outcome import Outcome
from jacinthcart.dispatch._part_run import PartRun
from jacinthcart.dispatch._probe import Prober
from jacinthcart.dispatch._replicas import build_replica_index
from jacinthcart.dispatch._sender import Sender
from jacinthcart.errors import RefusalCode, RefusalError, WireError
from jacinthcart.feed import StateFeed, WarmEntry
from jacinthcart.telemetry import DecisionLog, Logger, Metrics

_MS_PER_S = 1000
#: Interval between checks of ramps, queues and retired clients.
_MAINTENANCE_INTERVAL_S = 0.05
#: Interval after which entries that control's table does not reflect yet are
#: posted again.
_REPOST_INTERVAL_S = 0.5
_HEDGE_RECORD_INTERVAL_S = 1.0
#: Retries that a service with little traffic may send before its requests
#: have added to the budget.
_INITIAL_RETRIES = 10.0

#: Posts warm entries to control; raises WireError or TimeoutError.
PostWarmEntries = Callable[[Mapping[str, WarmEntry]], Awaitable[None]]


class Dispatcher:
    """Sends requests to the searchers whose connections this VM owns."""

    def __init__(
        self,
        feed: StateFeed,
        metrics: Metrics,
        decisions: DecisionLog,
        logger: Logger,
        *,
        random_source: random.Random,
        open_searcher_client: OpenSearcherClient,
        post_warm_entries: PostWarmEntries,
    ) -> None:
        """Create the components; `run` starts the background tasks."""
        self._feed = feed
        self._logger = logger
        self._random = random_source
        self._post_warm_entries = post_warm_entries
        self._allowances = AllowanceTracker(feed, decisions)
        self._sender = Sender(
            feed,
            self._allowances,
            metrics,
            decisions,
            random_source,
        )
        self._links = LinkTable(
            open_searcher_client,
            self._allowances.compute_allowance,
            feed.clock,
        )
        self._prober = Prober(feed, self._allowances, self._sender)
        self._hedger = Hedger(
            feed,
            metrics,
            decisions,
            functools.partial(must_finish, self._allowances),
        )
        self._retry_budgets_by_service: dict[str, ExtraRequestBudget] = {}
        self._view = feed.view
        self._index = build_replica_index(feed.view, feed.process.vm_id)
        self._apply_view()
        feed.listeners.append(self._apply_state)

    async def run(self) -> None:
        """Advance ramps, send probes and post warm entries until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._hedger.background = tasks
            tasks.start_soon(self._post_unpublished_entries)
            tasks.start_soon(self._record_hedges)
            while True:
                self._apply_state()
                self._allowances.step_ramps(self._index)
                for link in self._list_links_to_probe():
                    tasks.start_soon(self._prober.probe, link)
                await self._links.close_retired()
                await anyio.sleep(_MAINTENANCE_INTERVAL_S)

    async def close(self) -> None:
        """Close the connections to every searcher."""
        await self._links.close()

    async def run_part(self, call: PartCall) -> PartResult:
        """Run a call on one of the part's replicas.

        Raise RefusalError for a submit that was not answered; its `ran` says
        whether the submit may have run. Also raise RefusalError for any call
        that was not sent because the serving lease has expired (NOT_READY),
        the deadline passed (DEADLINE_PASSED) or the expected wait exceeds
        the deadline (OVERLOADED). In all other cases an idempotent call
        returns a reason for each missing shard.
        """
        self._check_serving()
        policy = self._feed.view.policy
        deadline = call.deadline - policy.merge_margin_ms / _MS_PER_S
        if self._feed.clock() >= deadline:
            raise RefusalError(RefusalCode.DEADLINE_PASSED)
        links = self._list_links(call)
        retry_budget = self._get_retry_budget(call.service_id)
        retry_budget.deposit(policy.retry_budget)

        async def attempt(
            link: SearcherLink,
            excluded: set[str],
        ) -> list[Outcome]:
            return await self._hedger.run(
                call,
                link,
                lambda copy_link, sending: self._sender.attempt(
                    copy_link,
                    call,
                    deadline,
                    sending,
                ),
                lambda: self._choose_hedge(links, excluded, deadline),
            )

        return await PartRun(
            call,
            lambda excluded: self._choose_link(links, excluded, deadline),
            attempt,
            retry_budget.try_withdraw,
            self._check_serving,
        ).run()

    def describe(self) -> dict[str, Any]:
        """Return allowance, queue and exclusion reason by searcher id."""
        return {
            link.replica.searcher_id: {
                'allowance': link.allowance,
                'in_flight': link.in_flight,
                'queued': len(link.queue),
                'is_warmer': link.replica.is_warmer,
                'set_aside': self._allowances.find_exclusion_reason(
                    link.replica
                ),
                'is_failing': link.failing_until > self._feed.clock(),
            }
            for link in self._links.list_all()
        }

    def _check_serving(self) -> None:
        if not self._feed.is_serving():
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='serving lease ran out',
            )

    def _list_links(self, call: PartCall) -> list[SearcherLink]:
        if self._feed.view is not self._view:
            self._apply_view()
        replicas = self._index.replicas_by_part.get(
            (call.service_id, call.part),
            (),
        )
        return self._links.list_links(replicas)

    def _choose_link(
        self,
        links: Iterable[SearcherLink],
        excluded: set[str],
        deadline: float,
    ) -> SearcherLink | None:
        now = self._feed.clock()
        if now >= deadline or not self._feed.is_serving():
            return None
        return choose_link(
            links,
            excluded,
            now,
            self._feed.view.policy.evidence_max_age_ms / _MS_PER_S,
            self._random,
        )

    def _choose_hedge(
        self,
        links: Iterable[SearcherLink],
        excluded: set[str],
        deadline: float,
    ) -> SearcherLink | None:
        now = self._feed.clock()
        free = [
            link
            for link in links
            if link.has_free_slot and link.failing_until <= now
        ]
        hedge_link = self._choose_link(free, excluded, deadline)
        if hedge_link is not None:
            excluded.add(hedge_link.replica.searcher_id)
        return hedge_link

    def _get_retry_budget(self, service_id: str) -> ExtraRequestBudget:
        budget = self._retry_budgets_by_service.get(service_id)
        if budget is None:
            budget = ExtraRequestBudget(_INITIAL_RETRIES)
            self._retry_budgets_by_service[service_id] = budget
        return budget

    def _apply_state(self) -> None:
        if self._feed.view is not self._view:
            self._apply_view()
        self._links.process_queues()

    def _apply_view(self) -> None:
        self._view = self._feed.view
        self._index = build_replica_index(
            self._view,
            self._feed.process.vm_id,
        )
        self._allowances.apply_index(self._index)
        self._links.update(self._index)

    def _list_links_to_probe(self) -> list[SearcherLink]:
        links = self._links.list_links(self._index.owned)
        return [link for link in links if self._prober.needs_probe(link)]

    async def _record_hedges(self) -> None:
        while True:
            await anyio.sleep(_HEDGE_RECORD_INTERVAL_S)
            self._hedger.record_decisions()

    async def _post_unpublished_entries(self) -> None:
        while True:
            changed = anyio.Event()
            self._allowances.warm_table.listeners = [changed.set]
            entries = self._allowances.warm_table.list_unpublished()
            try:
                if entries:
                    await self._post_warm_entries(entries)
            except (WireError, TimeoutError) as error:
                self._logger.warning(
                    'posting warm entries to control failed',
                    limit_key='post_warm',
                    error=str(error),
                )
            with anyio.move_on_after(_REPOST_INTERVAL_S):
                await changed.wait()
