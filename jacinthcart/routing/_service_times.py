"""How long searchers work on one request when it does not wait."""

from jacinthcart.routing._quantiles import QuantileTracker

#: Weight of a new sample in the mean service time of all routes. A query over
#: many shards adds a sample for each of them.
_MEAN_WEIGHT = 0.002


class ServiceTimes:
    """Service times of the routes, learned from responses without a queue.

    The latencies that a route has at the moment say little about the work
    that its requests need: while searchers are overloaded, all of them include
    time in queues. Only responses of searchers that report no waiting requests
    are therefore used.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._quantiles = QuantileTracker()
        self._mean_s: float | None = None

    @property
    def mean_s(self) -> float:
        """Return the mean over recent responses of all routes, in seconds.

        It is 0 before the first one.
        """
        return self._mean_s or 0

    def record(self, route: str, latency_s: float, *, is_queued: bool) -> None:
        """Record the latency of a response without the machine's slowdown.

        `is_queued` states whether requests wait at the searcher.
        """
        if not is_queued:
            self._quantiles.add(route, latency_s)
        service_time_s = self._quantiles.quantile_s(route, 0.5, latency_s)
        if self._mean_s is None:
            self._mean_s = service_time_s
        self._mean_s += (service_time_s - self._mean_s) * _MEAN_WEIGHT

    def estimate_s(
        self, route: str, quantile: float, default_s: float
    ) -> float:
        """Return a quantile of a route's service times in seconds.

        Return `default_s` if there are too few samples.
        """
        return self._quantiles.quantile_s(route, quantile, default_s)
