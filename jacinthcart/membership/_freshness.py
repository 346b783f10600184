"""Decides whether a VM knows the settings well enough to serve.

Evidence says: this VM holds everything that a source (the configuration
service, or another VM) held at a moment. The moment is never later than the
true one, because it is counted from the sending of the call or heartbeat that
was answered. Evidence that names a higher revision than this VM holds counts
only once this VM has pulled that revision.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping

from jacinthcart.program import Clock

_PENDING_KEPT = 64


class FreshnessReason(enum.StrEnum):
    """Why a VM is current or not."""

    SERVICE_CONTACT = 'service_contact'
    MAJORITY = 'majority'
    ISOLATED = 'isolated'


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What one response proves once `needed_revision` is held."""

    #: Revision that this VM must hold.
    needed_revision: int
    #: Moment in seconds at which the service was contacted, if known.
    service_at: float | None = None
    #: Moment in seconds by VM id at which that VM held nothing newer.
    confirmed_at_by_vm: Mapping[str, float] = dataclasses.field(
        default_factory=dict,
    )


class SettingsFreshness:
    """Collects evidence; all moments are seconds on `clock`."""

    def __init__(self, vm_id: str, isolation_s: float, clock: Clock) -> None:
        """Start without evidence, so not current."""
        self.service_at: float | None = None
        self.confirmed_at_by_vm: dict[str, float] = {}
        self._vm_id = vm_id
        self._isolation_s = isolation_s
        self._clock = clock
        self._roster: frozenset[str] = frozenset()
        self._held_revision = 0
        self._heard_at_by_revision: dict[int, float] = {}
        self._pending: collections.deque[Evidence] = collections.deque(
            maxlen=_PENDING_KEPT,
        )

    def configure(self, isolation_s: float, vm_ids: Iterable[str]) -> None:
        """Take the policy and roster in force."""
        self._isolation_s = isolation_s
        self._roster = frozenset(vm_ids)
        self.confirmed_at_by_vm = {
            vm_id: confirmed_at
            for vm_id, confirmed_at in self.confirmed_at_by_vm.items()
            if vm_id in self._roster
        }

    def record_held_revision(self, revision: int) -> None:
        """Take the revision held; evidence that waited for it counts."""
        self._held_revision = max(revision, self._held_revision)
        waiting = list(self._pending)
        self._pending.clear()
        for evidence in waiting:
            self._take(evidence)

    def record_service_contact(
        self,
        contacted_at: float,
        revision: int,
    ) -> None:
        """Take a contact with the service at `revision`.

        A service that is behind a peer heard recently proves nothing until
        this VM holds the peer's revision.
        """
        needed = max(revision, self._find_heard_revision())
        self._take(Evidence(needed, service_at=contacted_at))

    def record_peer_ack(
        self,
        sent_at: float,
        revision: int,
        service_age_s: float | None,
        age_s_by_vm: Mapping[str, float],
    ) -> None:
        """Take an acknowledgement of the heartbeat sent at `sent_at`.

        `age_s_by_vm` tells how long ago each VM was confirmed to the peer;
        the peer itself has age 0.
        """
        self._heard_at_by_revision[revision] = self._clock()
        confirmed = {
            vm_id: sent_at - age_s for vm_id, age_s in age_s_by_vm.items()
        }
        self._take(Evidence(revision, confirmed_at_by_vm=confirmed))
        if service_age_s is not None:
            self.record_service_contact(sent_at - service_age_s, revision)

    @property
    def reason(self) -> FreshnessReason:
        """Return why this VM is current, or ISOLATED."""
        oldest = self._clock() - self._isolation_s
        if self.service_at is not None and self.service_at >= oldest:
            return FreshnessReason.SERVICE_CONTACT
        if self._is_majority_confirmed(oldest):
            return FreshnessReason.MAJORITY
        return FreshnessReason.ISOLATED

    @property
    def is_current(self) -> bool:
        """Return whether serving leases may be granted now."""
        return self.reason is not FreshnessReason.ISOLATED

    @property
    def service_age_s(self) -> float | None:
        """Return the age of the newest service contact in seconds."""
        if self.service_at is None:
            return None
        return self._clock() - self.service_at

    def list_ages(self) -> dict[str, float]:
        """Return seconds since each VM of the roster was confirmed."""
        now = self._clock()
        ages = {
            vm_id: now - confirmed_at
            for vm_id, confirmed_at in self.confirmed_at_by_vm.items()
        }
        ages[self._vm_id] = 0
        return ages

    def _take(self, evidence: Evidence) -> None:
        if evidence.needed_revision > self._held_revision:
            self._pending.append(evidence)
            return
        if evidence.service_at is not None:
            self.service_at = max(
                evidence.service_at,
                self.service_at or evidence.service_at,
            )
        known = self.confirmed_at_by_vm
        for vm_id, confirmed_at in evidence.confirmed_at_by_vm.items():
            if confirmed_at > known.get(vm_id, -math.inf):
                known[vm_id] = confirmed_at

    def _is_majority_confirmed(self, oldest: float) -> bool:
        if not self._roster:
            return False
        confirmed = {
            vm_id
            for vm_id, confirmed_at in self.confirmed_at_by_vm.items()
            if confirmed_at >= oldest and vm_id in self._roster
        }
        confirmed.update(self._roster & {self._vm_id})
        return len(confirmed) * 2 > len(self._roster)

    def _find_heard_revision(self) -> int:
        oldest = self._clock() - self._isolation_s
        self._heard_at_by_revision = {
            revision: heard_at
            for revision, heard_at in self._heard_at_by_revision.items()
            if heard_at >= oldest
        }
        return max(self._heard_at_by_revision, default=0)
