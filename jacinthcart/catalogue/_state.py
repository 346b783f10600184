"""The configuration in force and the searchers that this VM may use."""

import collections
from collections.abc import Callable, Mapping

from jacinthcart.catalogue._types import (
    Catalogue,
    Route,
    Searcher,
    SearcherState,
)
from jacinthcart.program import Clock
from jacinthcart.telemetry import Logger

#: Grace period in seconds after a store outage. If an entry disappears in this
#: period, its searcher may still be alive and stays in use for the same length
#: of time from then. Live searchers publish their entries again within about
#: two seconds of the store's return (platform contract).
_REPUBLISH_S = 2.0
#: Minimum gap in seconds between two proofs that counts as a store outage.
#: Readers normally renew the proof about once a second.
_MIN_OUTAGE_S = 2.0


class CatalogueState:
    """Stores the newest configuration and the searchers in use.

    A searcher whose entry disappears right after a store outage stays in use
    for a grace period, in which live searchers publish their entries again.
    """

    def __init__(self, clock: Clock, logger: Logger) -> None:
        """Create a state without a configuration and without searchers."""
        self.catalogue: Catalogue | None = None
        self.searchers_by_id: dict[str, Searcher] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.listeners: list[Callable[[], None]] = []
        self._clock = clock
        self._logger = logger
        self._missing_since_by_id: dict[str, float] = {}
        self._newest_by_id: dict[str, Searcher] = {}
        self._proof_at = -_MIN_OUTAGE_S
        self._outage_ended_at = -_REPUBLISH_S * 2
        self._searchers_by_service: dict[str, tuple[Searcher, ...]] = {}
        # Cached because every address lookup uses it, while searchers
        # rarely change.
        self._coverage_by_host: dict[str, dict[str, float]] = {}

    def list_searchers(self, service: str) -> tuple[Searcher, ...]:
        """Return the searchers of a service that accept new requests."""
        return self._searchers_by_service.get(service, ())

    def get_coverage(self, host: str) -> dict[str, float]:
        """Return the fraction of a host's services with a local searcher.

        The keys are data centres, and local means in that data centre. A
        service counts once per route; routes are not weighted by their
        traffic.
        """
        catalogue = self.catalogue
        if catalogue is None or host not in catalogue.routes_by_host:
            return {}
        routes = catalogue.routes_by_host[host]
        if host not in self._coverage_by_host:
            self._coverage_by_host[host] = self._compute_coverage(routes)
        return self._coverage_by_host[host]

    def update_catalogue(
        self, catalogue: Catalogue, revision: int | None = None
    ) -> None:
        """Put a configuration in force unless a newer one is in force.

        `revision` is that of its item in the store, for the log.
        """
        current = self.catalogue
        if current is not None and catalogue.version < current.version:
            self._logger.warning(
                'older configuration ignored',
                limit_key='old_configuration',
                version=catalogue.version,
                in_force=current.version,
                revision=revision,
            )
            return
        self.catalogue = catalogue
        self._logger.info(
            'configuration in force',
            version=catalogue.version,
            former=current.version if current else None,
            revision=revision,
        )
        self._notify()

    def update_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose searchers must not get requests."""
        if data_centres == self.evacuated:
            return
        self.evacuated = data_centres
        self._logger.info(
            'evacuation changed', data_centres=sorted(data_centres)
        )
        self._refresh()

    def apply_searcher_changes(
        self, changes: Mapping[str, Searcher | None]
    ) -> None:
        """Apply changed entries by searcher id; None means a removed entry.

        An entry that is older than the last one of its searcher is ignored.
        """
        for searcher_id, searcher in changes.items():
            if searcher is None:
                self._remove(searcher_id)
            elif not self._is_outdated(searcher):
                self._missing_since_by_id.pop(searcher_id, None)
                self._newest_by_id[searcher_id] = searcher
                self.searchers_by_id[searcher_id] = searcher
        if changes:
            self._refresh()

    def record_proof(self, proof_at: float) -> None:
        """Record the clock time in seconds of a freshness proof.

        A newer proof after a gap of more than `_MIN_OUTAGE_S` means that a
        store outage has just ended.
        """
        if proof_at - self._proof_at > _MIN_OUTAGE_S:
            self._outage_ended_at = self._clock()
        self._proof_at = max(proof_at, self._proof_at)

    def remove_lapsed(self) -> None:
        """Remove searchers whose entries have not reappeared in time.

        Must be called regularly; the state has no timer of its own.
        """
        now = self._clock()
        lapsed_ids = [
            searcher_id
            for searcher_id, since in self._missing_since_by_id.items()
            if now - since >= _REPUBLISH_S
        ]
        for searcher_id in lapsed_ids:
            self._missing_since_by_id.pop(searcher_id)
            self.searchers_by_id.pop(searcher_id, None)
        if lapsed_ids:
            self._logger.info('lapsed searchers removed', count=len(lapsed_ids))
            self._refresh()

    def _remove(self, searcher_id: str) -> None:
        if searcher_id not in self.searchers_by_id:
            return
        now = self._clock()
        current = self.searchers_by_id[searcher_id]
        is_lapse = now - self._outage_ended_at < _REPUBLISH_S
        if is_lapse and current.state is SearcherState.READY:
            self._missing_since_by_id.setdefault(searcher_id, now)
            return
        self.searchers_by_id.pop(searcher_id)
        self._missing_since_by_id.pop(searcher_id, None)

    def _is_outdated(self, searcher: Searcher) -> bool:
        newest = self._newest_by_id.get(searcher.searcher_id)
        if newest is None:
            return False
        newest_version = (newest.born, newest.sequence)
        return (searcher.born, searcher.sequence) < newest_version

    def _compute_coverage(self, routes: tuple[Route, ...]) -> dict[str, float]:
        services = [
            service
            for route in routes
            for service in (
                *route.shards,
                *(share.service for share in route.shares),
            )
        ]
        counts: collections.Counter[str] = collections.Counter()
        for service in services:
            searchers = self.list_searchers(service)
            counts.update({one.data_centre for one in searchers})
        return {
            data_centre: count / len(services)
            for data_centre, count in counts.items()
        }

    def _refresh(self) -> None:
        by_service: dict[str, list[Searcher]] = {}
        for searcher in self.searchers_by_id.values():
            is_usable = (
                searcher.state is SearcherState.READY
                and searcher.data_centre not in self.evacuated
            )
            if is_usable:
                by_service.setdefault(searcher.service, []).append(searcher)
        self._searchers_by_service = {
            service: tuple(searchers)
            for service, searchers in by_service.items()
        }
        self._notify()

    def _notify(self) -> None:
        self._coverage_by_host.clear()
        for listener in self.listeners:
            listener()
