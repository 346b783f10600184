"""Decides whether the settings of a VM are fresh enough to serve.

A proof states that this VM holds everything that a source (the configuration
service or another VM) held at some time. That time is a lower bound, because
it is the time at which the answered call or heartbeat was sent. A proof for a
higher revision than this VM holds counts only once this VM has pulled that
revision. Settings that are proven to be fresh enough are called current.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping

from jacinthcart.program import Clock

_MAX_PENDING_PROOFS = 64


class FreshnessReason(enum.StrEnum):
    """Why the settings of a VM are current or not."""

    SERVICE_CONTACT = 'service_contact'
    MAJORITY = 'majority'
    ISOLATED = 'isolated'


@dataclasses.dataclass(frozen=True)
class FreshnessProof:
    """What one response proves once `needed_revision` is held."""

    #: Revision that this VM must hold.
    needed_revision: int
    #: Time in seconds of the service contact, if known.
    service_at: float | None = None
    #: Time in seconds, by VM id, at which that VM held no newer settings.
    confirmed_at_by_vm: Mapping[str, float] = dataclasses.field(
        default_factory=dict,
    )


class SettingsFreshness:
    """Collects proofs that the settings are current.

    All times are in seconds on `clock`.
    """

    def __init__(self, vm_id: str, isolation_s: float, clock: Clock) -> None:
        """Start without proofs, so the settings are not current."""
        self.service_at: float | None = None
        self.confirmed_at_by_vm: dict[str, float] = {}
        self._vm_id = vm_id
        self._isolation_s = isolation_s
        self._clock = clock
        self._roster: frozenset[str] = frozenset()
        self._held_revision = 0
        self._seen_at_by_revision: dict[int, float] = {}
        self._pending: collections.deque[FreshnessProof] = collections.deque(
            maxlen=_MAX_PENDING_PROOFS,
        )

    def configure(self, isolation_s: float, vm_ids: Iterable[str]) -> None:
        """Apply the isolation window and the VMs of the current roster."""
        self._isolation_s = isolation_s
        self._roster = frozenset(vm_ids)
        self.confirmed_at_by_vm = {
            vm_id: confirmed_at
            for vm_id, confirmed_at in self.confirmed_at_by_vm.items()
            if vm_id in self._roster
        }

    def record_held_revision(self, revision: int) -> None:
        """Record the revision held and apply the proofs pending on it."""
        self._held_revision = max(revision, self._held_revision)
        pending = list(self._pending)
        self._pending.clear()
        for proof in pending:
            self._apply(proof)

    def record_service_contact(
        self,
        contacted_at: float,
        revision: int,
    ) -> None:
        """Record a contact with the service at `revision`.

        A service with an older revision than a recently seen peer proves
        nothing until this VM holds the peer's revision.
        """
        needed = max(revision, self._find_newest_peer_revision())
        self._apply(FreshnessProof(needed, service_at=contacted_at))

    def record_peer_ack(
        self,
        sent_at: float,
        revision: int,
        service_age_s: float | None,
        age_s_by_vm: Mapping[str, float],
    ) -> None:
        """Record an acknowledgement of the heartbeat sent at `sent_at`.

        `service_age_s` is the time since the peer's last service contact, if
        any. `age_s_by_vm` contains the time since each VM was confirmed to
        the peer; the peer itself has age 0.
        """
        self._seen_at_by_revision[revision] = self._clock()
        confirmed = {
            vm_id: sent_at - age_s for vm_id, age_s in age_s_by_vm.items()
        }
        self._apply(FreshnessProof(revision, confirmed_at_by_vm=confirmed))
        if service_age_s is not None:
            self.record_service_contact(sent_at - service_age_s, revision)

    @property
    def reason(self) -> FreshnessReason:
        """Return why the settings are current, or ISOLATED."""
        oldest = self._clock() - self._isolation_s
        if self.service_at is not None and self.service_at >= oldest:
            return FreshnessReason.SERVICE_CONTACT
        if self._is_majority_confirmed(oldest):
            return FreshnessReason.MAJORITY
        return FreshnessReason.ISOLATED

    @property
    def is_current(self) -> bool:
        """Return whether the settings are fresh enough to serve with."""
        return self.reason is not FreshnessReason.ISOLATED

    @property
    def service_age_s(self) -> float | None:
        """Return the age of the newest service contact in seconds."""
        if self.service_at is None:
            return None
        return self._clock() - self.service_at

    def list_ages(self) -> dict[str, float]:
        """Return the seconds since each VM of the roster was confirmed.

        VMs that were never confirmed are omitted; this VM has age 0.
        """
        now = self._clock()
        ages = {
            vm_id: now - confirmed_at
            for vm_id, confirmed_at in self.confirmed_at_by_vm.items()
        }
        ages[self._vm_id] = 0
        return ages

    def _apply(self, proof: FreshnessProof) -> None:
        if proof.needed_revision > self._held_revision:
            self._pending.append(proof)
            return
        if proof.service_at is not None:
            self.service_at = max(
                proof.service_at,
                self.service_at or proof.service_at,
            )
        known = self.confirmed_at_by_vm
        for vm_id, confirmed_at in proof.confirmed_at_by_vm.items():
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

    def _find_newest_peer_revision(self) -> int:
        oldest = self._clock() - self._isolation_s
        self._seen_at_by_revision = {
            revision: seen_at
            for revision, seen_at in self._seen_at_by_revision.items()
            if seen_at >= oldest
        }
        return max(self._seen_at_by_revision, default=0)
