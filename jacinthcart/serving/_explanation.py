"""Explains how a request would be served now, without sending it."""

import dataclasses

from anyio.lowlevel import checkpoint

from jacinthcart.catalogue import Route
from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.overload import (
    OverloadControl,
    OverloadDecision,
    QueryDemand,
    QueryKind,
)
from jacinthcart.routing import ChoiceDescription, SearcherClient
from jacinthcart.serving._admission import Admission, Admitted
from jacinthcart.serving._availability import list_unserved
from jacinthcart.serving._policy import (
    AnswerParameters,
    AnswerPolicy,
    HoldPolicy,
)


@dataclasses.dataclass(frozen=True)
class ServiceExplanation:
    """Where a request to one service or shard would go."""

    service: str
    #: Weight relative to the route's other services; 1 for a shard.
    weight: float
    choice: ChoiceDescription
    #: Whether the request would be held back from the chosen searcher.
    is_held: bool = False


@dataclasses.dataclass(frozen=True)
class RequestExplanation:
    """What would happen to a request; can be encoded as JSON."""

    #: Code and detail of the refusal; None if the request is not refused.
    refusal: str | None
    #: Route and priority; None if the request is refused before.
    admitted: Admitted | None = None
    services: tuple[ServiceExplanation, ...] = ()
    #: Shards of which no searcher accepts requests in time.
    unserved: tuple[str, ...] = ()
    #: Decision of overload control; None without it and for a request to one
    #: service.
    overload: OverloadDecision | None = None


class RequestExplainer:
    """Explains requests from the state that decides about them.

    Nothing is sent or recorded, and no random number is drawn.
    """

    def __init__(
        self,
        admission: Admission,
        client: SearcherClient,
        overload: OverloadControl | None,
        params: AnswerParameters,
    ) -> None:
        """Create the explainer."""
        self._admission = admission
        self._client = client
        self._overload = overload
        self._params = params

    async def explain(
        self, host: str, path: str, workspace: str | None = None
    ) -> RequestExplanation:
        """Return what would happen to a request that arrives now.

        The caller is taken to have just sent it, with no time limit of its
        own. Other requests are served between two shards, so that their
        states may be of different moments. Raise InvalidMessageError if the
        workspace is unknown.
        """
        now = self._client.clock()
        try:
            admitted = self._admission.preview(host, path, workspace, now)
        except RefusalError as error:
            return RequestExplanation(str(error))
        if admitted.route.is_scattered:
            return await self._explain_query(admitted, now)
        services = tuple(
            ServiceExplanation(
                share.service,
                share.weight,
                self._describe_choice(admitted, share.service),
            )
            for share in admitted.route.shares
        )
        refusal = None
        if not self._is_served(admitted.route, now):
            refusal = f'{RefusalCode.OVERLOADED}: no searcher'
        return RequestExplanation(refusal, admitted, services)

    def _is_served(self, route: Route, now: float) -> bool:
        # A request waits until the target for a searcher, then it fails.
        table = self._client.table
        return any(
            table.compute_earliest_send(share.service, ())
            < now + route.target_s
            for share in route.shares
            if share.weight > 0
        )

    async def _explain_query(
        self, admitted: Admitted, now: float
    ) -> RequestExplanation:
        route = admitted.route
        answer_at = now + route.target_s - self._params.reserve_s
        policy = AnswerPolicy(
            len(route.shards), route.min_shard_fraction, answer_at
        )
        unserved = list_unserved(self._client, route, answer_at)
        refusal = None
        if policy.is_unanswerable(len(unserved)):
            refusal = f'{RefusalCode.OVERLOADED}: no searcher available'
        decision = None
        if self._overload is not None:
            kind = QueryKind(route, admitted.priority, policy.optional_parts)
            decision = self._overload.describe(
                QueryDemand(kind, answer_at, now + route.timeout_s)
            )
        hold_policy = HoldPolicy(policy.optional_parts, answer_at)
        services = []
        for shard in route.shards:
            services.append(
                self._explain_shard(admitted, shard, hold_policy, now)
            )
            # All shards of a large route take longer than a query may wait.
            await checkpoint()
        return RequestExplanation(
            refusal, admitted, tuple(services), tuple(unserved), decision
        )

    def _explain_shard(
        self, admitted: Admitted, shard: str, policy: HoldPolicy, now: float
    ) -> ServiceExplanation:
        choice = self._describe_choice(admitted, shard)
        is_held = False
        if choice.chosen:
            first = choice.chosen[0]
            is_held = policy.should_hold(
                shard, first.in_flight, first.latency_s, now
            )
        return ServiceExplanation(shard, 1, choice, is_held)

    def _describe_choice(
        self, admitted: Admitted, service: str
    ) -> ChoiceDescription:
        return self._client.table.describe_choice(
            service,
            self._client.estimate_service_time_s(admitted.route),
            admitted.route.target_s,
        )
