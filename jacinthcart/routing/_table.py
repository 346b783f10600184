"""The searchers of each service, with evidence and cold allowances."""

import math
import random
from collections.abc import Callable, Collection

from jacinthcart.catalogue import CatalogueState, Searcher, ServiceConfig
from jacinthcart.fleet import MemberTable
from jacinthcart.program import Clock
from jacinthcart.routing._choice import (
    Candidate,
    SelectionParameters,
    estimate_cost_s,
    estimate_latency_s,
)
from jacinthcart.routing._cold import ColdStartLimiter
from jacinthcart.routing._evidence import HealthTracker, SearcherHealth

#: Random part of a cost, so that equal searchers share the load.
_JITTER = 0.1


class RoutingTable:
    """Chooses searchers for requests."""

    def __init__(
        self,
        catalogue_state: CatalogueState,
        members: MemberTable,
        evidence: HealthTracker,
        cold_starts: ColdStartLimiter,
        clock: Clock,
        random_source: random.Random,
        find_share: Callable[[], float],
        terms: SelectionParameters,
    ) -> None:
        """Keep the collaborators; `find_share` returns this VM's part, from
        0 to 1, of what the fleet may use together."""
        self._catalogue_state = catalogue_state
        self._members = members
        self._evidence = evidence
        self._cold_starts = cold_starts
        self._clock = clock
        self._random = random_source
        self._find_share = find_share
        self._terms = terms
        catalogue_state.listeners.append(self._note_searchers)

    def find_evidence(self, searcher: Searcher) -> SearcherHealth:
        """Return the evidence about a searcher's process."""
        return self._evidence.find(searcher.process)

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        usual_s: float,
        target_s: float,
        *,
        allows_paused: bool = True,
    ) -> Searcher | None:
        """Return the cheapest searcher that may get a request now."""
        now = self._clock()
        connections = self._find_connections(service)
        cold_rate = self._find_cold_rate(service)
        cost_s_by_searcher = {
            searcher: self._estimate_s(
                searcher,
                now,
                usual_s,
                target_s,
                connections,
            )
            for searcher in self._catalogue_state.list_searchers(service)
            if searcher.searcher_id not in excluded
            and (allows_paused or not self._is_paused(searcher, now))
            and self._cold_starts.find_opening(searcher, cold_rate) <= now
        }
        if not cost_s_by_searcher:
            return None
        return min(cost_s_by_searcher, key=cost_s_by_searcher.__getitem__)

    def find_opening(self, service: str, excluded: Collection[str]) -> float:
        """Return the second from which any searcher may get a request.

        It is infinite if this VM may send to none of them.
        """
        rate = self._find_cold_rate(service)
        return min(
            (
                self._cold_starts.find_opening(searcher, rate)
                for searcher in self._catalogue_state.list_searchers(service)
                if searcher.searcher_id not in excluded
            ),
            default=math.inf,
        )

    def is_cold(self, searcher: Searcher) -> bool:
        """Return whether a searcher's cold start goes on."""
        return self._cold_starts.is_cold(searcher)

    def note_send(self, searcher: Searcher) -> None:
        """Count a request that leaves for a searcher."""
        self._cold_starts.note_send(searcher)

    def has_searchers(self, service: str) -> bool:
        """Return whether any searcher of a service is in use."""
        return bool(self._catalogue_state.list_searchers(service))

    def estimate_latency_s(self, searcher: Searcher, usual_s: float) -> float:
        """Return the latency in seconds that a request sent now would have."""
        return estimate_latency_s(
            self.find_evidence(searcher),
            now=self._clock(),
            usual_s=usual_s,
            slots=searcher.slots,
        )

    def _estimate_s(
        self,
        searcher: Searcher,
        now: float,
        usual_s: float,
        target_s: float,
        connections: int,
    ) -> float:
        evidence = self.find_evidence(searcher)
        cost_s = estimate_cost_s(
            Candidate(
                evidence=evidence,
                slots=searcher.slots,
                is_far=searcher.data_centre != self._members.own.data_centre,
                is_cold=self.is_cold(searcher),
                has_connection=evidence.in_flight < connections,
            ),
            now=now,
            usual_s=usual_s,
            target_s=target_s,
            terms=self._terms,
        )
        return cost_s * (1 + _JITTER * self._random.random())

    def _is_paused(self, searcher: Searcher, now: float) -> bool:
        return self.find_evidence(searcher).paused_until > now

    def _find_cold_rate(self, service: str) -> float:
        terms = self._find_terms(service)
        return terms.cold_rate_per_s if terms else 0

    def _find_connections(self, service: str) -> int:
        terms = self._find_terms(service)
        if terms is None:
            return 1
        share = self._terms.connections_share * self._find_share()
        return max(1, int(terms.max_connections * share))

    def _find_terms(self, service: str) -> ServiceConfig | None:
        catalogue = self._catalogue_state.catalogue
        if catalogue is None:
            return None
        return catalogue.services_by_name.get(service)

    def _note_searchers(self) -> None:
        processes = set()
        for searcher in self._catalogue_state.searchers_by_id.values():
            processes.add(searcher.process)
            self._cold_starts.note(searcher)
        self._cold_starts.forget_except(processes)
        self._evidence.forget_except(processes)
