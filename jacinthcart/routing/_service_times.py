"""How long searchers work on a request that does not wait."""

from jacinthcart.routing._quantiles import QuantileParameters, QuantileTracker

#: Weight of a new sample in the mean service time of a service.
_MEAN_WEIGHT = 0.05
#: A VM that starts during an overload sees few responses without a queue.
_QUANTILES = QuantileParameters(min_count=3, refresh_count=5)


class ServiceTimes:
    """Service times of the routes, learned from responses without a queue.

    The latencies that a route has at the moment say little about the work
    that its requests need: while searchers are overloaded, all of them include
    time in queues. Only responses of searchers that report no waiting requests
    are therefore used.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._quantiles = QuantileTracker(_QUANTILES)
        self._mean_s_by_service: dict[str, float] = {}
        #: Services whose mean is an assumption.
        self._assumed: set[str] = set()

    def get_mean_s(self, service: str) -> float:
        """Return the mean over recent responses of a service, in seconds.

        It is 0 while unknown.
        """
        return self._mean_s_by_service.get(service, 0)

    def record(
        self,
        route: str,
        service: str,
        latency_s: float,
        default_s: float,
        *,
        is_queued: bool,
    ) -> None:
        """Record the latency of a response without the machine's slowdown.

        `is_queued` states whether requests wait at the searcher, and
        `default_s` is the service time assumed while the route's is unknown.
        """
        if not is_queued:
            self._quantiles.add(route, latency_s)
        service_time_s = self._quantiles.quantile_s(route, 0.5, 0)
        if service_time_s <= 0:
            if service not in self._mean_s_by_service:
                self._mean_s_by_service[service] = default_s
                self._assumed.add(service)
            return
        if service in self._assumed:
            # The assumption must not linger in the mean.
            self._assumed.discard(service)
            self._mean_s_by_service.pop(service)
        mean_s = self._mean_s_by_service.get(service, service_time_s)
        mean_s += (service_time_s - mean_s) * _MEAN_WEIGHT
        self._mean_s_by_service[service] = mean_s

    def estimate_s(
        self, route: str, quantile: float, default_s: float
    ) -> float:
        """Return a quantile of a route's service times in seconds.

        Return `default_s` if there are too few samples.
        """
        return self._quantiles.quantile_s(route, quantile, default_s)
