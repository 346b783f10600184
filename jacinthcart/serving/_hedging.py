"""When a request is sent again."""

import dataclasses

from jacinthcart.catalogue import Route
from jacinthcart.routing import SearcherClient


@dataclasses.dataclass(frozen=True)
class SendParameters:
    """When a request is sent again."""

    #: Quantile of the route's latencies after which a hedge is sent.
    hedge_quantile: float = 0.9
    #: A hedge waits at least this many usual latencies.
    hedge_usual: float = 1.4
    #: Usual latencies that a hedge leaves for its answer before the target.
    hedge_answer: float = 2.0
    #: Seconds that a hedge waits at least.
    hedge_least_s: float = 0.002
    #: Part of the budget that hedges leave to resends after failures.
    hedge_reserve: float = 0.3
    #: Sends of one request at most, refused ones included.
    sends: int = 5
    #: Seconds until another try when every searcher refused.
    retry_s: float = 0.02


def find_hedge_delay_s(
    calls: SearcherClient,
    route: Route,
    time_left_s: float,
    terms: SendParameters,
) -> float:
    """Return the seconds from a send to its hedge.

    `time_left_s` is the time from the send to the route's target. When many
    searchers are slow, the quantile is, too; a hedge must still leave time
    for its own answer.
    """
    usual_s = calls.usual_s(route)
    delay_s = calls.delays.quantile_s(
        route.name,
        terms.hedge_quantile,
        2 * usual_s,
    )
    latest_s = time_left_s - usual_s * terms.hedge_answer
    least_s = usual_s * terms.hedge_usual
    return max(min(delay_s, latest_s), least_s, terms.hedge_least_s)
