"""Sends one request to one searcher and classifies the outcome."""

import random

import anyio

from jacinthcart.dispatch._allowances import AllowanceTracker
from jacinthcart.dispatch._link import SearcherLink
from jacinthcart.dispatch._messages import PartCall
from jacinthcart.dispatch._outcome import MissingReason, Outcome, Progress
from jacinthcart.dispatch._reply import (
    CODE_WRONG_VERSION,
    Observation,
    SearcherRefusalError,
    SearcherReply,
    SearchMessage,
    WrongReplyError,
    verify_reply,
)
from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.feed import StateFeed
from jacinthcart.telemetry import DecisionLog, Metrics

_MS_PER_S = 1000
_ID_BITS = 64
_NO_ALLOWANCE = Outcome(Progress.NOT_SENT, MissingReason.NO_REPLICA)
_OVERLOADED = Outcome(Progress.NOT_SENT, MissingReason.OVERLOADED)
_TIMED_OUT = Outcome(Progress.UNKNOWN, MissingReason.TIMEOUT)


class Sender:
    """Waits for a slot, sends a request, verifies and records the response."""

    def __init__(
        self,
        feed: StateFeed,
        allowances: AllowanceTracker,
        metrics: Metrics,
        decisions: DecisionLog,
        random_source: random.Random,
    ) -> None:
        """Choose the random prefix of every `sub_id` of this process."""
        self._feed = feed
        self._allowances = allowances
        self._metrics = metrics
        self._decisions = decisions
        self._id_prefix = f'{random_source.getrandbits(_ID_BITS):016x}'
        self._sent_requests = 0

    async def attempt(
        self,
        link: SearcherLink,
        call: PartCall,
        deadline: float,
        sending: anyio.Event,
    ) -> Outcome:
        """Return the outcome; set `sending` just before the request is sent."""
        flow = (call.workspace_id, call.request_class)
        if self._is_overloaded(link, call, deadline):
            return _OVERLOADED
        weight = self._get_weight(call.workspace_id)
        if not await link.acquire(flow, weight, deadline):
            is_late = self._feed.clock() >= deadline
            return _OVERLOADED if is_late else _NO_ALLOWANCE
        try:
            return await self._send(link, call, deadline, sending)
        finally:
            link.release()

    def _is_overloaded(
        self,
        link: SearcherLink,
        call: PartCall,
        deadline: float,
    ) -> bool:
        if len(link.queue) >= self._feed.view.policy.queue_limit:
            return True
        flow = (call.workspace_id, call.request_class)
        wait_s = link.estimate_wait_s(flow)
        return self._feed.clock() + wait_s >= deadline

    def _get_weight(self, workspace_id: str) -> float:
        workspace = self._feed.view.workspaces_by_id.get(workspace_id)
        return workspace.weight if workspace else 1

    async def _send(
        self,
        link: SearcherLink,
        call: PartCall,
        deadline: float,
        sending: anyio.Event,
    ) -> Outcome:
        now = self._feed.clock()
        allowance = link.allowance
        if not self._feed.is_serving() or link.in_flight > allowance:
            return _NO_ALLOWANCE
        if now >= deadline:
            return _OVERLOADED
        self._metrics.check(
            'searcher_in_flight',
            0 < link.in_flight <= allowance,
            f'{link.replica.searcher_id}: {link.in_flight} of {allowance}',
        )
        self._metrics.count('searcher_request', link.replica.service_id)
        sending.set()
        message = self._create_message(call)
        try:
            reply = await self._exchange(link, message, deadline)
        except NotSentError:
            self._mark_failing(link, 'connection failed')
            return Outcome(Progress.NOT_SENT, MissingReason.FAILED)
        except SearcherRefusalError as refusal:
            return self._record_refusal(link, refusal, now)
        except OutcomeUnknownError as error:
            return self._record_unknown_outcome(link, error)
        return self._record_reply(link, reply, now)

    def _create_message(self, call: PartCall) -> SearchMessage:
        self._sent_requests += 1
        return SearchMessage(
            f'{self._id_prefix}-{self._sent_requests}',
            call.request_id,
            call.snapshot,
            call.shards,
            call.query,
            call.is_submit,
        )

    async def _exchange(
        self,
        link: SearcherLink,
        message: SearchMessage,
        deadline: float,
    ) -> SearcherReply | None:
        client = link.client
        timeout_s = deadline - self._feed.clock()
        reply = None
        try:
            with anyio.move_on_after(timeout_s):
                reply = await client.search(message, deadline)
        finally:
            if reply is None:
                self._allowances.record_unanswered(link.replica)
                with anyio.CancelScope(shield=True):
                    await client.cancel(message.sub_id)
        if reply is not None:
            verify_reply(message, reply)
        return reply

    def _record_reply(
        self,
        link: SearcherLink,
        reply: SearcherReply | None,
        sent_at: float,
    ) -> Outcome:
        latency_s = self._feed.clock() - sent_at
        link.record_latency(latency_s)
        if reply is None:
            self._allowances.record_failure(link.replica)
            return _TIMED_OUT
        link.load = reply.load
        self._allowances.record_response(
            link.replica,
            Observation(sent_at, reply.generation, reply.state),
        )
        return Outcome(Progress.ANSWERED, reply=reply, latency_s=latency_s)

    def _record_refusal(
        self,
        link: SearcherLink,
        refusal: SearcherRefusalError,
        sent_at: float,
    ) -> Outcome:
        self._metrics.count('searcher_refusal', refusal.code)
        self._allowances.record_response(
            link.replica,
            Observation(
                sent_at,
                refusal.generation,
                refusal.state,
                refusal.code,
            ),
        )
        reason = MissingReason.OVERLOADED
        if refusal.code == CODE_WRONG_VERSION:
            reason = MissingReason.WRONG_VERSION
            link.versions = refusal.versions
        return Outcome(Progress.REFUSED, reason, versions=refusal.versions)

    def _record_unknown_outcome(
        self,
        link: SearcherLink,
        error: OutcomeUnknownError,
    ) -> Outcome:
        if isinstance(error, WrongReplyError):
            self._metrics.count('wrong_reply', link.replica.service_id)
        self._allowances.record_failure(link.replica)
        self._mark_failing(link, str(error))
        return Outcome(Progress.UNKNOWN, MissingReason.FAILED)

    def _mark_failing(self, link: SearcherLink, observation: str) -> None:
        policy = self._feed.view.policy
        if policy.automatic_changes_frozen:
            return
        now = self._feed.clock()
        if link.failing_until <= now:
            self._decisions.record(
                'searcher_set_aside',
                link.replica.searcher_id,
                reason='failed; used only when no other replica is left',
                observation=observation,
                setting='evidence_max_age_ms',
            )
        link.failing_until = now + policy.evidence_max_age_ms / _MS_PER_S
