"""Queueing delays of services, from what their searchers report."""

import math

from jacinthcart.catalogue import CatalogueState
from jacinthcart.program import Clock
from jacinthcart.routing._availability import AvailabilityTracker
from jacinthcart.routing._cost import estimate_queue_delay_s
from jacinthcart.routing._health import HealthTracker
from jacinthcart.routing._service_times import ServiceTimes


class QueueDelays:
    """Estimates how long a new request to a service would be queued."""

    def __init__(
        self,
        catalogue_state: CatalogueState,
        health_tracker: HealthTracker,
        availability: AvailabilityTracker,
        service_times: ServiceTimes,
        clock: Clock,
    ) -> None:
        """Create the estimator."""
        self._catalogue_state = catalogue_state
        self._health_tracker = health_tracker
        self._availability = availability
        self._service_times = service_times
        self._clock = clock

    def estimate_s(self, service: str) -> float:
        """Return the time in seconds until a new request gets a slot.

        The time is that of the searcher at which the request would end first.
        It is 0 if no searcher of the service is available, because waiting
        does not help.
        """
        now = self._clock()
        service_time_s = self._service_times.mean_s
        best_end_s = math.inf
        best_delay_s: float = 0
        for searcher in self._catalogue_state.list_searchers(service):
            health = self._health_tracker.get_or_create(searcher.process)
            is_failing = health.consecutive_failures and (
                health.backoff_until > now
            )
            if is_failing or not self._availability.may_send(searcher):
                continue
            delay_s = estimate_queue_delay_s(
                health,
                now=now,
                service_time_s=service_time_s,
                slots=searcher.slots,
            )
            factor = health.compute_slowness(now) * health.compute_slowdown(now)
            end_s = delay_s + service_time_s * factor
            if end_s < best_end_s:
                best_end_s = end_s
                best_delay_s = delay_s
        return best_delay_s
