"""Execution of admitted requests."""

import dataclasses
import random
from collections.abc import Callable

import anyio

from jacinthcart.catalogue import Route
from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.overload import OverloadControl, QueryDemand, QueryKind
from jacinthcart.routing import (
    CallContext,
    CallerRequest,
    ExtraSendBudget,
    SearcherClient,
)
from jacinthcart.serving._admission import (
    Admission,
    Admitted,
    compute_deadline,
)
from jacinthcart.serving._availability import list_unserved
from jacinthcart.serving._caller_age import CallerAgeEstimator
from jacinthcart.serving._explanation import RequestExplainer
from jacinthcart.serving._hedging import SendParameters
from jacinthcart.serving._policy import (
    AnswerParameters,
    AnswerPolicy,
    HoldPolicy,
    RetryParameters,
)
from jacinthcart.serving._records import merge_records
from jacinthcart.serving._refusals import (
    RefusalFactory,
    create_leaving,
    create_timeout,
)
from jacinthcart.serving._results import (
    MergedAnswer,
    SendReport,
    ServedAnswer,
)
from jacinthcart.serving._service_run import ServiceRun
from jacinthcart.serving._shutdown import Shutdown

#: Policy of requests to a single service, which are never held back: without
#: its response there is no answer.
_NEVER_HOLD = HoldPolicy(0, 0)


@dataclasses.dataclass(frozen=True)
class ServingParameters:
    """Parameters of sends and answers."""

    send: SendParameters = SendParameters()
    answer: AnswerParameters = AnswerParameters()
    retry: RetryParameters = RetryParameters()


class _Wakeup:
    """Wakes the task of a request when the state of a send changes."""

    def __init__(self) -> None:
        """Create a wakeup without a pending notification."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the waiting task, or let its next wait return at once."""
        self._event.set()

    async def wait_until(self, wake_at: float, now: float) -> None:
        """Wait for a notification, at most until the clock time `wake_at`."""
        if not self._event.is_set():
            with anyio.move_on_after(max(0, wake_at - now)):
                await self._event.wait()
        self._event = anyio.Event()


class RequestServer:
    """Sends admitted requests to searchers and builds the answers."""

    def __init__(
        self,
        client: SearcherClient,
        budget: ExtraSendBudget,
        admission: Admission,
        shutdown: Shutdown,
        random_source: random.Random,
        params: ServingParameters,
        overload: OverloadControl | None = None,
    ) -> None:
        """Create the server.

        Without `overload`, no query is held or refused for lack of capacity
        at searchers.
        """
        #: Explains requests without sending them.
        self.explainer = RequestExplainer(
            admission, client, overload, params.answer
        )
        self._overload = overload
        self._client = client
        self._budget = budget
        self._admission = admission
        self._shutdown = shutdown
        self._wakeups: set[_Wakeup] = set()
        shutdown.listeners.append(self._wake_all)
        self._random = random_source
        self._params = params
        self._caller_age_estimator = CallerAgeEstimator()
        self._refusals = RefusalFactory(client, random_source, params.retry)

    async def serve(
        self,
        request: CallerRequest,
        admitted: Admitted,
    ) -> ServedAnswer | MergedAnswer:
        """Return the answer to an admitted request.

        Raise RefusalError; its `ran` is NOT_RUN only if no searcher can
        have run the request.
        """
        route = admitted.route
        context = CallContext(
            request,
            route,
            admitted.workspace,
            self._compute_deadline(request, route),
            self._create_key_check(admitted),
            admitted.priority,
        )
        if context.deadline <= self._client.clock():
            raise RefusalError(RefusalCode.DEADLINE_PASSED)
        wakeup = _Wakeup()
        self._wakeups.add(wakeup)
        try:
            if route.is_scattered:
                return await self._scatter(context, wakeup)
            return await self._send_to_one(context, wakeup)
        finally:
            self._wakeups.discard(wakeup)

    def _wake_all(self) -> None:
        # The time at which requests are ended has changed.
        for wakeup in self._wakeups:
            wakeup.notify()

    def _compute_end(self, context: CallContext) -> float:
        return min(context.deadline, self._shutdown.answer_at)

    def _create_late_refusal(
        self, context: CallContext, runs: list[ServiceRun]
    ) -> RefusalError:
        if self._client.clock() < context.deadline:
            return create_leaving(runs)
        return create_timeout(runs)

    def _compute_deadline(self, request: CallerRequest, route: Route) -> float:
        reserve_s = self._params.answer.deadline_reserve_s
        return min(
            compute_deadline(request, route), request.deadline - reserve_s
        )

    def _compute_answer_time(
        self, request: CallerRequest, route: Route
    ) -> float:
        age_s = self._caller_age_estimator.estimate_age_s(
            request, route.name, route.target_s
        )
        target_at = request.received_at - age_s + route.target_s
        return target_at - self._params.answer.reserve_s

    def _create_key_check(self, admitted: Admitted) -> Callable[[], bool]:
        if admitted.workspace is None:
            return _always_true
        return self._admission.is_proof_recent

    async def _send_to_one(
        self, context: CallContext, wakeup: _Wakeup
    ) -> ServedAnswer:
        service = _choose_service(context.route, self._random)
        run = self._create_run(context, service, _NEVER_HOLD, wakeup)
        try:
            run.start()
            await self._wait_for_end(context, run, wakeup)
        finally:
            run.cancel()
        if run.response is not None:
            return ServedAnswer(run.response, _create_report([run]))
        failure = run.failure
        if failure and failure.response and failure.response.is_failure:
            return ServedAnswer(failure.response, _create_report([run]))
        raise self._refusals.create(context, [run], 0)

    async def _wait_for_end(
        self,
        context: CallContext,
        run: ServiceRun,
        wakeup: _Wakeup,
    ) -> None:
        while not run.is_done:
            now = self._client.clock()
            ends_at = self._compute_end(context)
            if now >= ends_at:
                raise self._create_late_refusal(context, [run])
            run.tick(now)
            if not run.is_done:
                wake_at = min(run.wake_at, ends_at)
                await wakeup.wait_until(wake_at, now)

    async def _scatter(
        self, context: CallContext, wakeup: _Wakeup
    ) -> MergedAnswer:
        route = context.route
        policy = AnswerPolicy(
            len(route.shards),
            route.min_shard_fraction,
            self._compute_answer_time(context.request, route),
        )
        self._check_shards(context, policy)
        if self._overload is not None:
            await self._overload.admit(
                QueryDemand(
                    QueryKind(route, context.priority, policy.optional_parts),
                    policy.answer_at,
                    context.deadline,
                )
            )
        hold_policy = HoldPolicy(policy.optional_parts, policy.answer_at)
        runs = [
            self._create_run(context, service, hold_policy, wakeup)
            for service in route.shards
        ]
        try:
            for run in runs:
                run.start()
            await self._collect(context, runs, policy, wakeup)
        except BaseException:
            for run in runs:
                run.cancel()
            raise
        answer = _merge_responses(route, runs)
        for run in runs:
            run.abandon()
        return answer

    def _check_shards(self, context: CallContext, policy: AnswerPolicy) -> None:
        # Nothing is sent for a query that can't be answered: its shard
        # requests would only take capacity from other queries.
        unserved = list_unserved(self._client, context.route, policy.answer_at)
        if policy.is_unanswerable(len(unserved)):
            raise self._refusals.create_unserved(
                context, unserved, policy.optional_parts
            )

    async def _collect(
        self,
        context: CallContext,
        runs: list[ServiceRun],
        policy: AnswerPolicy,
        wakeup: _Wakeup,
    ) -> None:
        while not self._is_collected(context, runs, policy):
            now = self._client.clock()
            wake_at = self._compute_end(context)
            if now < policy.answer_at:
                wake_at = min(wake_at, policy.answer_at)
            for run in runs:
                run.tick(now)
                if not run.is_done:
                    wake_at = min(wake_at, run.wake_at)
            await wakeup.wait_until(wake_at, now)

    def _is_collected(
        self,
        context: CallContext,
        runs: list[ServiceRun],
        policy: AnswerPolicy,
    ) -> bool:
        now = self._client.clock()
        parts = sum(1 for run in runs if run.response is not None)
        failed = sum(1 for run in runs if run.failure is not None)
        if policy.should_answer(parts, failed, now):
            return True
        if policy.is_unanswerable(failed):
            raise self._refusals.create(context, runs, policy.optional_parts)
        if now < self._compute_end(context):
            return False
        if parts < policy.min_parts:
            raise self._create_late_refusal(context, runs)
        return True

    def _create_run(
        self,
        context: CallContext,
        service: str,
        hold_policy: HoldPolicy,
        wakeup: _Wakeup,
    ) -> ServiceRun:
        return ServiceRun(
            context,
            service,
            self._client,
            self._budget,
            self._params.send,
            hold_policy,
            wakeup.notify,
        )


def _choose_service(route: Route, random_source: random.Random) -> str:
    weights = [share.weight for share in route.shares]
    if len(weights) == 1:
        return route.shares[0].service
    chosen = random_source.choices(route.shares, weights)[0]
    return chosen.service


def _merge_responses(route: Route, runs: list[ServiceRun]) -> MergedAnswer:
    responses = [run.response for run in runs if run.response is not None]
    stamps = tuple(dict.fromkeys(one.stamp or '' for one in responses))
    return MergedAnswer(
        stamps,
        len(runs) - len(responses),
        merge_records((one.body for one in responses), route.top_k),
        _create_report(runs),
    )


def _create_report(runs: list[ServiceRun]) -> SendReport:
    return SendReport(
        tuple(send for run in runs for send in run.ended_sends),
        tuple(run.describe() for run in runs if run.response is None),
    )


def _always_true() -> bool:
    return True
