"""Selection of searchers by cost, health and cold-start limits."""

import math
import random
from collections.abc import Callable, Collection

from jacinthcart.catalogue import CatalogueState, Searcher, ServiceConfig
from jacinthcart.fleet import MemberTable
from jacinthcart.program import Clock
from jacinthcart.routing._availability import AvailabilityTracker
from jacinthcart.routing._cold import ColdStartLimiter, RankSenders
from jacinthcart.routing._cost import (
    COST_JITTER,
    Candidate,
    SelectionParameters,
    estimate_cost_s,
    estimate_latency_s,
)
from jacinthcart.routing._description import (
    ChoiceDescription,
    CostInputs,
    SendLimits,
    describe_choice,
    describe_searcher,
)
from jacinthcart.routing._health import HealthTracker, SearcherHealth
from jacinthcart.routing._queue_delays import QueueDelays
from jacinthcart.routing._service_times import ServiceTimes


class RoutingTable:
    """Chooses the searcher for each request."""

    def __init__(
        self,
        catalogue_state: CatalogueState,
        members: MemberTable,
        health_tracker: HealthTracker,
        cold_start_limiter: ColdStartLimiter,
        clock: Clock,
        random_source: random.Random,
        compute_share: Callable[[], float],
        params: SelectionParameters,
    ) -> None:
        """Create the table and subscribe to catalogue changes.

        `compute_share` returns this VM's share of fleet-wide limits, in the
        range (0, 1].
        """
        self._catalogue_state = catalogue_state
        self._members = members
        self._health_tracker = health_tracker
        self._cold_start_limiter = cold_start_limiter
        self._clock = clock
        self._random = random_source
        self._compute_share = compute_share
        self._params = params
        #: What searchers have said about accepting requests.
        self.availability = AvailabilityTracker(clock)
        #: Service times of the routes.
        self.service_times = ServiceTimes()
        #: Queueing delays at the searchers.
        self.queue_delays = QueueDelays(
            catalogue_state,
            health_tracker,
            self.availability,
            self.service_times,
            clock,
        )
        catalogue_state.listeners.append(self._update_searchers)

    def get_health(self, searcher: Searcher) -> SearcherHealth:
        """Return the health of a searcher's process."""
        return self._health_tracker.get_or_create(searcher.process)

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        service_time_s: float,
        target_s: float,
        *,
        includes_backed_off: bool = True,
    ) -> Searcher | None:
        """Return the lowest-cost searcher that may get a request now.

        Searchers whose id is in `excluded` are not eligible. Return None if
        no searcher is eligible.
        """
        now = self._clock()
        connection_limit = self._compute_connection_limit(service)
        cold_rate = self._get_cold_rate(service)
        cost_s_by_searcher = {
            searcher: estimate_cost_s(
                self._create_candidate(searcher, connection_limit),
                now=now,
                service_time_s=service_time_s,
                mean_service_time_s=self.service_times.get_mean_s(service),
                target_s=target_s,
                params=self._params,
            )
            * (1 + COST_JITTER * self._random.random())
            for searcher in self._catalogue_state.list_searchers(service)
            if searcher.searcher_id not in excluded
            and (
                includes_backed_off
                or self.get_health(searcher).backoff_until <= now
            )
            and self._compute_earliest_send(searcher, cold_rate) <= now
        }
        if not cost_s_by_searcher:
            return None
        return min(cost_s_by_searcher, key=cost_s_by_searcher.__getitem__)

    def describe_choice(
        self, service: str, service_time_s: float, target_s: float
    ) -> ChoiceDescription:
        """Return what a choice for a first send would be made of now.

        Draws no random number and records no send.
        """
        cold_rate = self._get_cold_rate(service)
        connection_limit = self._compute_connection_limit(service)
        usable = frozenset(self._catalogue_state.list_searchers(service))
        inputs = CostInputs(
            self._clock(),
            service_time_s,
            self.service_times.get_mean_s(service),
            target_s,
            self._params,
        )
        return describe_choice(
            [
                describe_searcher(
                    searcher,
                    self._create_candidate(searcher, connection_limit),
                    connection_limit,
                    inputs,
                    SendLimits(
                        searcher in usable,
                        self.availability.is_leaving(searcher),
                        self.availability.compute_earliest_send(searcher),
                        self._compute_earliest_send(searcher, cold_rate),
                    ),
                )
                for searcher in self._catalogue_state.searchers_by_id.values()
                if searcher.service == service
            ]
        )

    def compute_earliest_send(
        self, service: str, excluded: Collection[str]
    ) -> float:
        """Return the earliest clock time at which a request may be sent.

        The time is infinity if this VM may send to none of the service's
        searchers that are not in `excluded`.
        """
        rate = self._get_cold_rate(service)
        return min(
            (
                self._compute_earliest_send(searcher, rate)
                for searcher in self._catalogue_state.list_searchers(service)
                if searcher.searcher_id not in excluded
            ),
            default=math.inf,
        )

    def is_cold(self, searcher: Searcher) -> bool:
        """Return whether the searcher is still in its cold start."""
        return self._cold_start_limiter.is_cold(searcher)

    def record_send(self, searcher: Searcher) -> None:
        """Record that a request is being sent to `searcher`."""
        self._cold_start_limiter.record_send(searcher)

    def compute_available_at(self, service: str) -> float:
        """Return the clock time from which a searcher accepts requests.

        The time is negative infinity if one does now and infinity if none of
        the service's searchers will. Limits of cold searchers are not
        considered.
        """
        return min(
            (
                self.availability.compute_earliest_send(searcher)
                for searcher in self._catalogue_state.list_searchers(service)
            ),
            default=math.inf,
        )

    def estimate_latency_s(
        self, searcher: Searcher, service_time_s: float
    ) -> float:
        """Return the expected latency in seconds of a request sent now."""
        return estimate_latency_s(
            self.get_health(searcher),
            now=self._clock(),
            service_time_s=service_time_s,
            mean_service_time_s=self.service_times.get_mean_s(searcher.service),
            slots=searcher.slots,
        )

    def _create_candidate(
        self, searcher: Searcher, connection_limit: int
    ) -> Candidate:
        health = self.get_health(searcher)
        return Candidate(
            health=health,
            slots=searcher.slots,
            is_remote=searcher.data_centre != self._members.own.data_centre,
            is_cold=self.is_cold(searcher),
            may_connect=health.in_flight < connection_limit,
        )

    def _compute_earliest_send(
        self, searcher: Searcher, cold_rate: float
    ) -> float:
        return max(
            self._cold_start_limiter.compute_earliest_send(searcher, cold_rate),
            self.availability.compute_earliest_send(searcher),
        )

    def _get_cold_rate(self, service: str) -> float:
        config = self._get_service_config(service)
        return config.cold_rate_per_s if config else 0

    def _compute_connection_limit(self, service: str) -> int:
        config = self._get_service_config(service)
        if config is None:
            return 1
        share = self._params.connections_fraction * self._compute_share()
        return max(1, int(config.max_connections * share))

    def _get_service_config(self, service: str) -> ServiceConfig | None:
        catalogue = self._catalogue_state.catalogue
        if catalogue is None:
            return None
        return catalogue.services_by_name.get(service)

    def _update_searchers(self) -> None:
        processes = set()
        for searcher in self._catalogue_state.searchers_by_id.values():
            processes.add(searcher.process)
            self._cold_start_limiter.update(searcher)
        self._cold_start_limiter.retain_only(processes)
        self._health_tracker.retain_only(processes)


def create_routing_table(
    catalogue_state: CatalogueState,
    members: MemberTable,
    health_tracker: HealthTracker,
    clock: Clock,
    random_source: random.Random,
    rank_senders: RankSenders,
    compute_share: Callable[[], float],
) -> RoutingTable:
    """Return a routing table with the default parameters.

    `rank_senders` ranks the VMs that may send to a cold searcher, and
    `compute_share` returns this VM's share of fleet-wide limits, in the range
    (0, 1].
    """
    return RoutingTable(
        catalogue_state,
        members,
        health_tracker,
        ColdStartLimiter(members.own.address, rank_senders, clock),
        clock,
        random_source,
        compute_share,
        SelectionParameters(),
    )
