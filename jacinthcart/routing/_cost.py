"""Cost model for choosing the searcher of a request."""

import dataclasses
import math

from jacinthcart.routing._health import SearcherHealth
from jacinthcart.routing._load_report import LoadReport

#: Added cost in seconds of a searcher that is backed off or has reached its
#: connection limit. It is far above usual latencies, so that such a searcher
#: is chosen only if there is no other.
_UNAVAILABLE_COST_S = 100.0
#: Maximum random increase of a cost as a fraction of it, so that searchers
#: with equal costs share the load.
COST_JITTER = 0.1
#: Half-life in seconds of a reported queueing delay.
_DELAY_HALF_LIFE_S = 0.6
#: Longest queueing delay in seconds, so that a false report does not take a
#: searcher out of use for longer than a failure does.
_MAX_DELAY_S = 1.5


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
    #: Penalty for a cold searcher, as a fraction of the route's service time.
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
    service_time_s: float,
    mean_service_time_s: float,
    slots: int,
) -> float:
    """Return the expected latency of a new request in seconds.

    `service_time_s` is the usual service time of the request and
    `mean_service_time_s` that of the requests in the queue. The latter is only
    known for searchers that report the slowdown of their machine; otherwise
    the requests in the queue are taken to be like the new one.

    If the oldest unanswered send is overdue, the time by which it is overdue
    is added: the searcher is stalled, whatever load it last reported.
    """
    slowdown = health.compute_slowdown(now)
    expected_s = service_time_s * health.compute_slowness(now) * slowdown
    if not health.reports_slowdown:
        queue_length = health.estimate_queue_length(now, slots, expected_s)
        latency_s = expected_s * (1 + queue_length / slots)
    else:
        latency_s = expected_s + estimate_queue_delay_s(
            health,
            now=now,
            service_time_s=mean_service_time_s,
            slots=slots,
        )
    overdue_s = health.compute_oldest_age_s(now) - 1.5 * expected_s
    if overdue_s > 0:
        latency_s += overdue_s + expected_s
    return latency_s


def estimate_queue_delay_s(
    health: SearcherHealth,
    *,
    now: float,
    service_time_s: float,
    slots: int,
    needs_slowdown: bool = True,
) -> float:
    """Return the time in seconds until a new request gets a slot.

    It is 0 if the searcher's reports have contradicted its latencies and,
    with `needs_slowdown`, unless it reports the slowdown of its machine:
    without that, the number of waiting requests tells less exactly how long
    they take.
    """
    load = health.load
    if load is None or (needs_slowdown and not health.reports_slowdown):
        return 0
    if not health.report_accuracy.is_credible:
        return 0
    added = health.in_flight - health.in_flight_at_report
    queue_length = load.running + load.waiting + 1 - load.slots + added
    if queue_length <= 0:
        return 0
    factor = health.compute_slowness(now) * health.compute_slowdown(now)
    delay_s = service_time_s * factor * queue_length / slots
    # Other VMs refill the queue while the searcher works on it, so the delay
    # is taken to persist for a while.
    weight = math.exp2(-(now - health.load_at) / _DELAY_HALF_LIFE_S)
    return min(delay_s, _MAX_DELAY_S) * weight


def estimate_reported_latency_s(
    health: SearcherHealth,
    load: LoadReport,
    *,
    service_time_s: float,
    mean_service_time_s: float,
    slots: int,
) -> float:
    """Return the latency in seconds that a report implies by itself.

    Whether the reports of the searcher are credible does not matter.
    """
    slowdown = health.slowdown
    delay_s = mean_service_time_s * slowdown * load.queue_length / slots
    return service_time_s * slowdown + min(delay_s, _MAX_DELAY_S)


def estimate_cost_s(
    candidate: Candidate,
    *,
    now: float,
    service_time_s: float,
    mean_service_time_s: float,
    target_s: float,
    params: SelectionParameters,
) -> float:
    """Return the expected latency in seconds including penalties.

    `service_time_s` is the usual service time of the request,
    `mean_service_time_s` that of the requests in the queue and `target_s` the
    target latency of the route.
    """
    health = candidate.health
    cost_s = estimate_latency_s(
        health,
        now=now,
        service_time_s=service_time_s,
        mean_service_time_s=mean_service_time_s,
        slots=candidate.slots,
    )
    failure_rate = health.compute_failure_rate(now)
    cost_s += failure_rate * target_s * params.failure_penalty
    if candidate.is_remote:
        cost_s += target_s * params.remote_penalty
    if candidate.is_cold:
        cost_s += service_time_s * params.cold_penalty
    if not candidate.may_connect:
        cost_s += _UNAVAILABLE_COST_S
    if health.backoff_until > now:
        cost_s += _UNAVAILABLE_COST_S + (health.backoff_until - now)
    return cost_s
