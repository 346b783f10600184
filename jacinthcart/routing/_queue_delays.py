"""Queueing delays of services, from what their searchers report."""

import math

from jacinthcart.catalogue import CatalogueState
from jacinthcart.program import Clock
from jacinthcart.routing._availability import AvailabilityTracker
from jacinthcart.routing._cost import estimate_queue_delay_s
from jacinthcart.routing._health import HealthTracker
from jacinthcart.routing._service_times import ServiceTimes

#: Age in seconds up to which a load report is recent.
_RECENT_S = 1.0
#: Queueing delay of a searcher without a recent report, in service times.
_UNKNOWN_DELAY_FRACTION = 0.5


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

    def needs_estimates(self, service: str) -> bool:
        """Return whether delays matter even if no slowdown is reported.

        They do for urgent queries that share searchers with others: a queue
        delays them by less urgent work.
        """
        catalogue = self._catalogue_state.catalogue
        return catalogue is not None and service in catalogue.contended_services

    def estimate_s(self, service: str) -> float:
        """Return the time in seconds until a new request gets a slot.

        The time is that of the searcher at which the request would end first.
        A searcher without a recent and credible report is taken to have a
        short queue while another one has a queue. The time is 0 if no
        searcher of the service is available: waiting does not help then.
        """
        service_time_s = self._service_times.get_mean_s(service)
        if service_time_s <= 0:
            return 0
        now = self._clock()
        unknown_s = service_time_s * _UNKNOWN_DELAY_FRACTION
        best = (math.inf, 0.0)
        has_recent = False
        for searcher in self._catalogue_state.list_searchers(service):
            health = self._health_tracker.get_or_create(searcher.process)
            resume_at = self._availability.compute_earliest_send(searcher)
            is_failing = health.consecutive_failures and (
                health.backoff_until > now
            )
            if is_failing or resume_at == math.inf:
                continue
            delay_s = estimate_queue_delay_s(
                health,
                now=now,
                service_time_s=service_time_s,
                slots=searcher.slots,
                needs_slowdown=not self.needs_estimates(service),
            )
            delay_s = max(delay_s, resume_at - now)
            factor = health.compute_slowness(now) * health.compute_slowdown(now)
            is_recent = now - health.load_at <= _RECENT_S
            if not is_recent or not health.report_accuracy.is_credible:
                delay_s = max(delay_s, unknown_s)
            else:
                has_recent = True
            best = min(best, (delay_s + service_time_s * factor, delay_s))
        return best[1] if has_recent else 0
