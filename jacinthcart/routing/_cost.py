"""Cost model for choosing the searcher of a request."""

import dataclasses

from jacinthcart.routing._health import SearcherHealth

#: Added cost in seconds of a searcher that is backed off or has reached its
#: connection limit. It is far above usual latencies, so that such a searcher
#: is chosen only if there is no other.
_UNAVAILABLE_COST_S = 100.0


@dataclasses.dataclass(frozen=True)
class SelectionParameters:
    """Penalties added to the expected latency, and the usable connections."""

    #: Penalty for a searcher in another data centre, as a fraction of the
    #: route's target latency. Traffic between data centres is charged, and a
    #: request that waits briefly for a local searcher still meets its target.
    remote_penalty: float = 0.5
    #: Penalty for a failed send, as a fraction of the route's target latency;
    #: it is multiplied by the searcher's failure rate. A failed send needs a
    #: retry, if the request can be retried at all.
    failure_penalty: float = 2.0
    #: Penalty for a cold searcher, as a fraction of the route's median
    #: latency.
    cold_penalty: float = 0.6
    #: Fraction of a searcher's connection limit that all VMs together use. A
    #: searcher with a long queue accepts fewer connections than its limit.
    connections_fraction: float = 0.8


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The state of one searcher as seen by this VM."""

    #: Health of the searcher's process.
    health: SearcherHealth
    #: Requests that the searcher runs concurrently.
    slots: int
    #: Whether the searcher is in another data centre.
    is_remote: bool
    #: Whether the searcher is still in its cold start.
    is_cold: bool
    #: Whether this VM may open another connection to the searcher. The
    #: searcher resets connections above its limit.
    may_connect: bool


def estimate_latency_s(
    health: SearcherHealth,
    *,
    now: float,
    median_s: float,
    slots: int,
) -> float:
    """Return the expected latency of a new request in seconds.

    If the oldest unanswered send is overdue, the time by which it is overdue
    is added: the searcher is stalled, whatever load it last reported.
    """
    slowdown = health.compute_slowdown(now)
    expected_s = median_s * health.compute_slowness(now) * slowdown
    queue_length = health.estimate_queue_length(now, slots, expected_s)
    latency_s = expected_s * (1 + queue_length / slots)
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
    """Return the expected latency in seconds including penalties.

    `median_s` is the median and `target_s` the target latency of the route.
    """
    health = candidate.health
    cost_s = estimate_latency_s(
        health,
        now=now,
        median_s=median_s,
        slots=candidate.slots,
    )
    failure_rate = health.compute_failure_rate(now)
    cost_s += failure_rate * target_s * params.failure_penalty
    if candidate.is_remote:
        cost_s += target_s * params.remote_penalty
    if candidate.is_cold:
        cost_s += median_s * params.cold_penalty
    if not candidate.may_connect:
        cost_s += _UNAVAILABLE_COST_S
    if health.backoff_until > now:
        cost_s += _UNAVAILABLE_COST_S + (health.backoff_until - now)
    return cost_s
