"""Read-only descriptions of the choice of a searcher."""

import dataclasses
import math

from jacinthcart.catalogue import Searcher, SearcherState
from jacinthcart.routing._cost import (
    COST_JITTER,
    Candidate,
    SelectionParameters,
    estimate_cost_s,
    estimate_latency_s,
    estimate_queue_delay_s,
)


@dataclasses.dataclass(frozen=True)
class CostInputs:
    """What the costs of all searchers of a choice are computed from."""

    now: float
    service_time_s: float
    mean_service_time_s: float
    target_s: float
    params: SelectionParameters


@dataclasses.dataclass(frozen=True)
class SendLimits:
    """From when a request may be sent to a searcher."""

    #: Whether the catalogue lists the searcher for new requests.
    is_usable: bool
    is_leaving: bool
    #: Clock time in seconds from which the searcher accepts requests.
    available_at: float
    #: The same, also considering the rate of cold searchers.
    earliest_send: float

    def describe_obstacle(self, searcher: Searcher, now: float) -> str | None:
        """Return why no request may be sent now; None if one may be."""
        if not self.is_usable:
            is_ready = searcher.state is SearcherState.READY
            return 'data centre evacuated' if is_ready else 'draining'
        if self.earliest_send <= now:
            return None
        if self.is_leaving:
            return 'leaving'
        if self.available_at > now:
            return 'asked to wait'
        is_sender = math.isfinite(self.earliest_send)
        return 'cold rate' if is_sender else 'cold, other VMs send'


@dataclasses.dataclass(frozen=True)
class SearcherDescription:
    """One searcher of a service and its cost now. Times are in seconds."""

    searcher_id: str
    data_centre: str
    #: Why no request may be sent now; None if one may be.
    obstacle: str | None
    #: Time until a request may be sent; infinity if that is not known.
    wait_s: float
    #: Cost before the random increase.
    cost_s: float
    #: Expected latency, which is part of the cost.
    latency_s: float
    #: Queueing delay that the searcher's reports show.
    queue_delay_s: float
    slowness: float
    slowdown: float
    failure_rate: float
    #: Time for which other searchers are preferred.
    backoff_s: float
    is_remote: bool
    is_cold: bool
    in_flight: int
    #: Requests in flight from which the searcher is a last resort.
    connection_limit: int


@dataclasses.dataclass(frozen=True)
class ChoiceDescription:
    """The choice of a searcher for the first send of a request."""

    #: The searchers in the order of choice: by cost those that may get a
    #: request, then the others.
    searchers: tuple[SearcherDescription, ...]
    #: The searchers one of which is chosen, by cost.
    chosen: tuple[SearcherDescription, ...]
    #: The rule that decides between them.
    rule: str


def describe_searcher(
    searcher: Searcher,
    candidate: Candidate,
    connection_limit: int,
    inputs: CostInputs,
    limits: SendLimits,
) -> SearcherDescription:
    """Return the description of a searcher."""
    now = inputs.now
    health = candidate.health
    wait_s = max(0.0, limits.earliest_send - now)
    return SearcherDescription(
        searcher_id=searcher.searcher_id,
        data_centre=searcher.data_centre,
        obstacle=limits.describe_obstacle(searcher, now),
        wait_s=wait_s if limits.is_usable else math.inf,
        cost_s=estimate_cost_s(
            candidate,
            now=now,
            service_time_s=inputs.service_time_s,
            mean_service_time_s=inputs.mean_service_time_s,
            target_s=inputs.target_s,
            params=inputs.params,
        ),
        latency_s=estimate_latency_s(
            health,
            now=now,
            service_time_s=inputs.service_time_s,
            mean_service_time_s=inputs.mean_service_time_s,
            slots=candidate.slots,
        ),
        queue_delay_s=estimate_queue_delay_s(
            health,
            now=now,
            service_time_s=inputs.mean_service_time_s,
            slots=candidate.slots,
        ),
        slowness=health.compute_slowness(now),
        slowdown=health.compute_slowdown(now),
        failure_rate=health.compute_failure_rate(now),
        backoff_s=max(0.0, health.backoff_until - now),
        is_remote=candidate.is_remote,
        is_cold=candidate.is_cold,
        in_flight=health.in_flight,
        connection_limit=connection_limit,
    )


def describe_choice(searchers: list[SearcherDescription]) -> ChoiceDescription:
    """Return the description of the choice among searchers."""
    eligible = sorted(
        (one for one in searchers if one.obstacle is None),
        key=lambda one: one.cost_s,
    )
    others = [one for one in searchers if one.obstacle is not None]
    chosen = tuple(
        one
        for one in eligible
        if one.cost_s <= eligible[0].cost_s * (1 + COST_JITTER)
    )
    return ChoiceDescription(
        (*eligible, *others), chosen, _describe_rule(chosen)
    )


def _describe_rule(chosen: tuple[SearcherDescription, ...]) -> str:
    if not chosen:
        return 'none may be sent to'
    rule = 'lowest cost'
    if len(chosen) > 1:
        rule = f'random among costs up to {COST_JITTER:.0%} higher'
    first = chosen[0]
    if first.backoff_s > 0 or first.in_flight >= first.connection_limit:
        return f'{rule}, last resort (backed off or at connection limit)'
    return rule
