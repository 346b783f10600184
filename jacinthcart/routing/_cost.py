"""Cost model for choosing the searcher of a request."""

import dataclasses

from jacinthcart.routing._health import SearcherHealth

_BACKOFF_COST_S = 100.0


@dataclasses.dataclass(frozen=True)
class SelectionParameters:
    """Cost penalties that are added to the expected latency.

    The first two are fractions of the route's target latency.
    """

    #: Penalty for a searcher in another data centre. Traffic between data
    #: centres is charged, and a request that waits briefly for a nearby
    #: searcher still meets its target.
    far_target_share: float = 0.5
    #: Penalty for an expected failure, scaled by the searcher's failure
    #: rate: a failed send needs a retry, if the request can be retried.
    failed_target_share: float = 2.0
    #: Penalty for a cold searcher, as a fraction of the median latency.
    cold_share: float = 0.6
    #: Fraction of a searcher's connection limit that the whole fleet uses.
    #: A searcher with a long queue accepts fewer connections than its
    #: stated limit.
    connections_share: float = 0.8


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The state of one searcher as seen by this VM."""

    #: Health of the searcher's process.
    health: SearcherHealth
    #: Requests that the searcher runs concurrently.
    slots: int
    #: Whether the searcher is in another data centre.
    is_far: bool
    #: Whether the searcher is still in its cold start.
    is_cold: bool
    #: Whether this VM may open another connection to the searcher, which
    #: resets connections above its limit.
    has_connection: bool


def estimate_latency_s(
    health: SearcherHealth,
    *,
    now: float,
    median_s: float,
    slots: int,
) -> float:
    """Return the expected latency of a new request in seconds.

    If the oldest unanswered send is overdue, its excess age is added: the
    searcher is stalled, whatever load it last reported.
    """
    expected_s = median_s * health.compute_slowness(now)
    waiting = health.estimate_excess(now, slots, expected_s)
    latency_s = expected_s * (1 + waiting / slots)
    overdue_s = health.compute_oldest_age_s(now) - 1.5 * expected_s
    if overdue_s > 0:
        latency_s += overdue_s + expected_s
    return latency_s


def estimate_cost_s(
    candidate: Candidate,
    *,
    now: float,
    median_s: float,
    target_s: float,
    params: SelectionParameters,
) -> float:
    """Return the expected latency in seconds including penalties."""
    health = candidate.health
    cost_s = estimate_latency_s(
        health,
        now=now,
        median_s=median_s,
        slots=candidate.slots,
    )
    failed_share = health.compute_failed_share(now)
    cost_s += failed_share * target_s * params.failed_target_share
    if candidate.is_far:
        cost_s += target_s * params.far_target_share
    if candidate.is_cold:
        cost_s += median_s * params.cold_share
    if not candidate.has_connection:
        cost_s += _BACKOFF_COST_S
    if health.backoff_until > now:
        cost_s += _BACKOFF_COST_S + (health.backoff_until - now)
    return cost_s
