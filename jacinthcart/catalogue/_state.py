"""The configuration in force and the searchers that this VM may use."""

import collections
from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet

from jacinthcart.catalogue._earlier import EarlierEntries
from jacinthcart.catalogue._missing import MissingKeys
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
#: Seconds for which an evacuation stays in force after the store has come back
#: without its key. The operator writes it again soon after the return; one
#: that was withdrawn meanwhile must not keep a data centre out of use forever.
_EVACUATION_RETENTION_S = 30.0
#: Seconds for which an entry of an earlier process must have been the last one
#: of its searcher to be accepted. An older entry that the store shows again is
#: replaced within about two seconds if the newer process is alive; one that
#: stays is of a process that started after its clock was set back.
_EARLIER_PROCESS_S = 4.0
_NO_KEYS: frozenset[str] = frozenset()


class CatalogueState:
    """Stores the newest configuration and the searchers in use.

    A searcher whose entry disappears right after a store outage, or is missing
    because the store came back from an older copy, stays in use for a grace
    period, in which live searchers publish their entries again. Missing
    evacuations likewise stay in force for a limited time.
    """

    def __init__(self, clock: Clock, logger: Logger) -> None:
        """Create a state without a configuration and without searchers."""
        self.catalogue: Catalogue | None = None
        self.searchers_by_id: dict[str, Searcher] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.listeners: list[Callable[[], None]] = []
        self._clock = clock
        self._logger = logger
        #: Clock time in seconds at which the entry of a searcher was removed
        #: right after a store outage.
        self._removed_at_by_id: dict[str, float] = {}
        self._missing_searchers = MissingKeys(clock, _REPUBLISH_S)
        self._earlier_entries = EarlierEntries(clock, _EARLIER_PROCESS_S)
        self._written_evacuations: frozenset[str] = frozenset()
        self._missing_evacuations = MissingKeys(clock, _EVACUATION_RETENTION_S)
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
            self._coverage_by_host[host] = _compute_coverage(
                routes, self._searchers_by_service
            )
        return self._coverage_by_host[host]

    def update_catalogue(
        self, catalogue: Catalogue, position: str | None = None
    ) -> None:
        """Put a configuration in force unless a newer one is in force.

        `position` is that of its item in the store, for the log.
        """
        current = self.catalogue
        if current is not None and catalogue.version < current.version:
            self._logger.warning(
                'older configuration ignored',
                limit_key='old_configuration',
                version=catalogue.version,
                in_force=current.version,
                position=position,
            )
            return
        self.catalogue = catalogue
        self._logger.info(
            'configuration in force',
            version=catalogue.version,
            former=current.version if current else None,
            position=position,
        )
        self._notify()

    def update_evacuated(
        self,
        data_centres: AbstractSet[str],
        missing: AbstractSet[str] = _NO_KEYS,
    ) -> None:
        """Set the data centres whose searchers must not get requests.

        `missing` are evacuations that the store came back without. They stay
        in force for `_EVACUATION_RETENTION_S` unless they are written again.
        """
        self._written_evacuations = frozenset(data_centres)
        self._missing_evacuations.replace(missing - data_centres)
        self._update_evacuations_in_force()

    def apply_searcher_changes(
        self,
        changes: Mapping[str, Searcher | None],
        missing_ids: AbstractSet[str] = _NO_KEYS,
    ) -> None:
        """Apply changed entries by searcher id; None means a removed entry.

        An entry that is older than the last one of its searcher is ignored, or
        accepted later if it is of an earlier process. The store came back
        without the entries of `missing_ids`; their searchers stay in use for
        `_REPUBLISH_S` unless the entry is written again or removed.
        """
        for searcher_id, searcher in changes.items():
            if searcher is None:
                self._remove(searcher_id)
            else:
                is_missing = searcher_id in missing_ids
                self._apply_entry(searcher, is_missing=is_missing)
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
        """Remove searchers and evacuations that have not reappeared in time.

        Must be called regularly; the state has no timer of its own.
        """
        now = self._clock()
        lapsed_ids = {
            searcher_id
            for searcher_id, removed_at in self._removed_at_by_id.items()
            if now - removed_at >= _REPUBLISH_S
        }
        lapsed_ids.update(self._missing_searchers.list_lapsed())
        lapsed_ids.intersection_update(self.searchers_by_id)
        for searcher_id in lapsed_ids:
            self._removed_at_by_id.pop(searcher_id, None)
            self.searchers_by_id.pop(searcher_id)
        if lapsed_ids:
            self._logger.info('lapsed searchers removed', count=len(lapsed_ids))
            self._refresh()
        self._update_evacuations_in_force()

    def accept_earlier_processes(self) -> None:
        """Use entries of earlier processes that no newer one has replaced.

        Must be called regularly, like `remove_lapsed`.
        """
        accepted = self._earlier_entries.list_due()
        for searcher in accepted:
            self._logger.warning(
                'searcher with an earlier start time accepted',
                limit_key='earlier_process',
                searcher=searcher.searcher_id,
                born=searcher.born,
                former_born=self._newest_by_id[searcher.searcher_id].born,
            )
            self._put(searcher, is_missing=False)
        if accepted:
            self._refresh()

    def _update_evacuations_in_force(self) -> None:
        missing = self._missing_evacuations.list_retained()
        in_force = self._written_evacuations.union(missing)
        if in_force == self.evacuated:
            return
        self.evacuated = in_force
        self._logger.info(
            'evacuation changed',
            data_centres=sorted(in_force),
            missing=sorted(missing),
        )
        self._refresh()

    def _apply_entry(self, searcher: Searcher, *, is_missing: bool) -> None:
        newest = self._newest_by_id.get(searcher.searcher_id)
        if newest is None or not _is_older(searcher, newest):
            self._put(searcher, is_missing=is_missing)
        elif is_missing:
            self._earlier_entries.discard(searcher.searcher_id)
        elif searcher.born < newest.born:
            self._earlier_entries.put(searcher)

    def _put(self, searcher: Searcher, *, is_missing: bool) -> None:
        searcher_id = searcher.searcher_id
        self._earlier_entries.discard(searcher_id)
        newest = self._newest_by_id.get(searcher_id)
        is_new = newest is None or _is_older(newest, searcher)
        if is_new or not is_missing:
            self._missing_searchers.discard(searcher_id)
        if is_missing:
            self._missing_searchers.add(searcher_id)
        if self._missing_searchers.has_lapsed(searcher_id):
            return
        self._removed_at_by_id.pop(searcher_id, None)
        self._newest_by_id[searcher_id] = searcher
        self.searchers_by_id[searcher_id] = searcher

    def _remove(self, searcher_id: str) -> None:
        self._earlier_entries.discard(searcher_id)
        # An entry that was missing has been written again in between.
        was_missing = self._missing_searchers.discard(searcher_id)
        if searcher_id not in self.searchers_by_id:
            return
        now = self._clock()
        current = self.searchers_by_id[searcher_id]
        is_lapse = now - self._outage_ended_at < _REPUBLISH_S
        is_ready = current.state is SearcherState.READY
        if is_lapse and is_ready and not was_missing:
            self._removed_at_by_id.setdefault(searcher_id, now)
            return
        self.searchers_by_id.pop(searcher_id)
        self._removed_at_by_id.pop(searcher_id, None)

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


def _is_older(searcher: Searcher, other: Searcher) -> bool:
    return (searcher.born, searcher.sequence) < (other.born, other.sequence)


def _compute_coverage(
    routes: tuple[Route, ...],
    searchers_by_service: Mapping[str, tuple[Searcher, ...]],
) -> dict[str, float]:
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
        searchers = searchers_by_service.get(service, ())
        counts.update({one.data_centre for one in searchers})
    return {
        data_centre: count / len(services)
        for data_centre, count in counts.items()
    }
