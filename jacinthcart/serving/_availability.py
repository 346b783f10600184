"""Availability of the shards of a query."""

from jacinthcart.catalogue import Route
from jacinthcart.routing import SearcherClient


def list_unserved(
    client: SearcherClient, route: Route, answer_at: float
) -> list[str]:
    """Return the shards of which no searcher accepts requests in time.

    `answer_at` is the clock time in seconds at which an answer is sent.
    """
    latest_send = max(
        client.clock(), answer_at - client.estimate_median_s(route)
    )
    return [
        service
        for service in dict.fromkeys(route.shards)
        if client.table.compute_available_at(service) > latest_send
    ]
