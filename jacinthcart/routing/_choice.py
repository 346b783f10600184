"""Which searcher a request goes to."""

import dataclasses

from jacinthcart.routing._evidence import SearcherHealth

_PAUSED_COST_S = 100.0


@dataclasses.dataclass(frozen=True)
class SelectionParameters:
    """What a choice weighs beside latency."""

    #: Part of the route's target that a searcher of another data centre
    #: costs more. Traffic between data centres is priced, and a request
    #: that waits shortly for a near searcher is still within its target.
    far_target_share: float = 0.5
    #: Part of the route's target that a failed send costs: another one has
    #: to follow, if the request may be repeated at all.
    failed_target_share: float = 2.0
    #: Part of the usual latency that a cold searcher costs more.
    cold_share: float = 0.6
    #: Part of a searcher's connections that the fleet uses together; it
    #: accepts fewer than it states while its queue is long.
    connections_share: float = 0.8


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A searcher as this VM sees it now."""

    #: HealthTracker about the searcher's process.
    evidence: SearcherHealth
    #: Requests that it runs at once.
    slots: int
    #: Whether it stands in another data centre.
    is_far: bool
    #: Whether its cold start goes on.
    is_cold: bool
    #: Whether this VM may open another connection to it; the searcher
    #: resets what comes beyond its limit.
    has_connection: bool


def estimate_latency_s(
    evidence: SearcherHealth,
    *,
    now: float,
    usual_s: float,
    slots: int,
) -> float:
    """Return the expected latency of a request in seconds.

    A send that has been unanswered for longer than usual counts with its
    age: the searcher pauses or hangs, whatever it reported before.
    """
    expected_s = usual_s * evidence.find_slowness(now)
    waiting = evidence.find_excess(now, slots, expected_s)
    latency_s = expected_s * (1 + waiting / slots)
    overdue_s = evidence.find_oldest_age_s(now) - 1.5 * expected_s
    if overdue_s > 0:
        latency_s += overdue_s + expected_s
    return latency_s


def estimate_cost_s(
    candidate: Candidate,
    *,
    now: float,
    usual_s: float,
    target_s: float,
    terms: SelectionParameters,
) -> float:
    """Return the expected latency in seconds, penalties included."""
    evidence = candidate.evidence
    cost_s = estimate_latency_s(
        evidence,
        now=now,
        usual_s=usual_s,
        slots=candidate.slots,
    )
    failed_share = evidence.find_failed_share(now)
    cost_s += failed_share * target_s * terms.failed_target_share
    if candidate.is_far:
        cost_s += target_s * terms.far_target_share
    if candidate.is_cold:
        cost_s += usual_s * terms.cold_share
    if not candidate.has_connection:
        cost_s += _PAUSED_COST_S
    if evidence.paused_until > now:
        cost_s += _PAUSED_COST_S + (evidence.paused_until - now)
    return cost_s
