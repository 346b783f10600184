"""Timing and limits of hedges and retries."""

import dataclasses

from jacinthcart.catalogue import Route
from jacinthcart.routing import SearcherClient


@dataclasses.dataclass(frozen=True)
class SendParameters:
    """Parameters of hedges and retries."""

    #: Quantile of the route's latencies after which a hedge is sent.
    hedge_quantile: float = 0.9
    #: Minimum hedge delay in median latencies.
    hedge_min_medians: float = 1.4
    #: Time left for the response to a hedge before the target, in median
    #: latencies.
    hedge_answer_medians: float = 2.0
    #: Minimum hedge delay in seconds.
    hedge_min_s: float = 0.002
    #: Fraction of the budget's capacity that hedges leave for retries after
    #: failures.
    hedge_reserve: float = 0.3
    #: Sends of one request to a service, including refused ones, after which
    #: it is not retried.
    max_sends: int = 5
    #: Delay in seconds before the next try if every searcher refused the
    #: request, no budget is left or the request is held back.
    retry_delay_s: float = 0.02


def compute_hedge_delay_s(
    client: SearcherClient,
    route: Route,
    time_left_s: float,
    params: SendParameters,
) -> float:
    """Return the delay in seconds between a send and its hedge.

    `time_left_s` is the time from the send to the route's target. If many
    searchers are slow, the latency quantile is high, too; the delay is
    therefore capped to leave time for the response to the hedge.
    """
    median_s = client.estimate_median_s(route)
    delay_s = client.latencies.quantile_s(
        route.name,
        params.hedge_quantile,
        2 * median_s,
    )
    latest_s = time_left_s - median_s * params.hedge_answer_medians
    min_s = median_s * params.hedge_min_medians
    return max(min(delay_s, latest_s), min_s, params.hedge_min_s)
