"""Tracks all token shares and borrowed permits of one VM."""

import dataclasses
import math
import random
from collections.abc import Iterable, Mapping

from jacinthcart.limits._lender_estimates import LenderEstimates
from jacinthcart.limits._ownership import OwnershipHistory
from jacinthcart.limits._parameters import LimitParameters, derive_parameters
from jacinthcart.limits._permits import Grant
from jacinthcart.limits._share import WorkspaceShare, compute_fraction
from jacinthcart.program import CLOCK_RATE_MARGIN, Clock
from jacinthcart.settings import Policy, SettingsView
from jacinthcart.telemetry import DecisionLog, Metrics

_MS_PER_S = 1000
#: Retry delay if the workspace is unknown, or if its tokens are neither
#: refilled on this VM nor lent by others.
_NO_SHARE_RETRY_MS = 1000
#: Fraction of the own capacity that is kept as a buffer; only own tokens
#: above it are expected to cover demand of the next round.
_BUFFER_FRACTION = 0.5
#: Fraction of the permit lifetime for which demand is borrowed in advance.
_PREFETCH_LIFETIME_FRACTION = 0.5
#: Maximum wait of a request for loans, as a fraction of the permit lifetime.
_LOAN_WAIT_LIFETIME_FRACTION = 0.3

#: Numbers of tokens by owner VM id, then by workspace id.
CountsByOwner = dict[str, dict[str, int]]


@dataclasses.dataclass(frozen=True)
class AcquireResult:
    """Result of one permit request."""

    #: Granted permits by workspace id; workspaces without any are omitted.
    granted: dict[str, Grant]
    #: Milliseconds until a token can be expected, by id of each workspace
    #: that was granted fewer permits than requested.
    retry_after_ms: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Loan:
    """Tokens debited from an owner's bucket for another VM."""

    #: Number of tokens.
    count: int
    #: Lifetime in milliseconds, counted from the debit.
    lifetime_ms: float


class TokenLedger:
    """Grants, lends and receives permits for one VM.

    All methods are synchronous, so that a debit and the record of it are
    atomic with respect to other tasks.
    """

    def __init__(
        self,
        vm_id: str,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
        rng: random.Random | None = None,
    ) -> None:
        """Create a ledger that grants and lends nothing until configured."""
        self.vm_id = vm_id
        self.policy = Policy()
        self.lender_estimates = LenderEstimates(clock, rng or random.Random())
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._shares: dict[str, WorkspaceShare] = {}
        self._history = OwnershipHistory(clock)
        self._roster_activated_at = math.inf

    def apply_settings(self, view: SettingsView) -> None:
        """Apply the settings in force.

        Reduced or lost shares take effect immediately. A gained share takes
        effect after `handover_seconds`. The shares that a process owns at
        start take effect `handover_seconds` after the roster did; see
        `record_roster_activation`.
        """
        self.policy = view.policy
        ownership = self._history.update(view)
        if ownership is None:
            return
        for workspace_id in set(self._shares) - set(view.workspaces_by_id):
            self._shares.pop(workspace_id)
        for workspace_id, workspace in view.workspaces_by_id.items():
            params = derive_parameters(workspace, view.policy)
            owners = ownership.find_owners(workspace_id, params)
            share = self._shares.get(workspace_id)
            if share is None:
                share = self._create_share(workspace_id, params, owners)
                self._shares[workspace_id] = share
            else:
                self._change_share(workspace_id, share, params, owners)
        self.record_roster_activation(self._clock())

    def record_roster_activation(self, activated_at: float) -> None:
        """Record the time in seconds at which the first roster took effect.

        Own tokens may be used `handover_seconds` after that time. The
        earliest recorded time applies.
        """
        self._roster_activated_at = min(self._roster_activated_at, activated_at)
        until = self._roster_activated_at + self.policy.handover_seconds
        for share in self._shares.values():
            share.delay_start(until)

    def acquire(self, counts: Mapping[str, int]) -> AcquireResult:
        """Grant up to the requested permits from loans and the own bucket."""
        granted = {}
        retry_after_ms = {}
        for workspace_id, count in counts.items():
            share = self._shares.get(workspace_id)
            if share is None:
                retry_after_ms[workspace_id] = _NO_SHARE_RETRY_MS
                continue
            share.meter.add(count)
            grant = share.take(count)
            if grant.count:
                _check_unexpired(self._metrics, grant, self._clock())
                granted[workspace_id] = grant
            if grant.count < count:
                retry_after_ms[workspace_id] = self._estimate_retry_ms(share)
        return AcquireResult(granted, retry_after_ms)

    def compute_shortage(self, counts: Mapping[str, int]) -> dict[str, int]:
        """Return the number of missing permits by workspace id."""
        shortage = {}
        for workspace_id, count in counts.items():
            share = self._shares.get(workspace_id)
            missing = count - share.count_available() if share else 0
            if missing > 0:
                shortage[workspace_id] = missing
        return shortage

    def compute_loan_timeout_s(self, workspace_ids: Iterable[str]) -> float:
        """Return the maximum time to wait for loans for these workspaces.

        It is limited because the permits that are already held age during
        the wait.
        """
        waits_s = [self.policy.borrow_timeout_ms / _MS_PER_S]
        for workspace_id in workspace_ids:
            share = self._shares.get(workspace_id)
            if share is not None:
                lifetime_s = share.params.lifetime_s
                waits_s.append(lifetime_s * _LOAN_WAIT_LIFETIME_FRACTION)
        return min(waits_s)

    def lend(self, counts: Mapping[str, int]) -> dict[str, Loan]:
        """Debit tokens from the own buckets for another VM.

        Tokens needed for local demand of the last interval or of the last
        few intervals are reserved. With the last interval alone, VMs with
        bursty demand lent each other tokens between bursts, and these tokens
        expired unused.
        """
        loans = {}
        for workspace_id, count in counts.items():
            share = self._shares.get(workspace_id)
            if share is None or not self.policy.lending_enabled:
                continue
            level = share.level
            lendable = int(max(0.0, level - share.meter.count_reserved()))
            grant = share.take_own(min(count, lendable))
            self._metrics.check(
                'lent_no_more_than_held',
                grant.count <= level,
                f'{workspace_id}: lent {grant.count} of {level}',
            )
            if grant.count:
                share.lent += grant.count
                lifetime_ms = share.params.lifetime_s * _MS_PER_S
                loans[workspace_id] = Loan(grant.count, lifetime_ms)
        return loans

    def receive_loan(
        self,
        granted: Mapping[str, Loan],
        sent_at: float,
    ) -> None:
        """Store borrowed permits with a lifetime counted from `sent_at`.

        `sent_at` is the time at which the request was sent. The lender
        debited its bucket later, so this expiry is conservative.
        """
        for workspace_id, loan in granted.items():
            share = self._shares.get(workspace_id)
            lifetime_s = loan.lifetime_ms / _MS_PER_S * CLOCK_RATE_MARGIN
            expires_at = sent_at + lifetime_s
            if share is None or expires_at <= self._clock():
                self._metrics.count('loans_received_late', amount=loan.count)
            else:
                share.borrowed_permits.add(loan.count, expires_at)

    def plan_borrowing(self) -> CountsByOwner:
        """Return the tokens to request from each owner in the next round.

        Workspaces whose demand is covered by the own share are omitted.
        """
        needs = {}
        for workspace_id, share in self._shares.items():
            share.refresh()
            need = self._predict_need(workspace_id, share)
            if need > 0:
                needs[workspace_id] = need
        return self.split(needs)

    def split(self, needs: Mapping[str, int]) -> CountsByOwner:
        """Distribute the needed tokens over the other owners."""
        counts_by_owner: CountsByOwner = {}
        if not self.policy.lending_enabled:
            return counts_by_owner
        for workspace_id, need in needs.items():
            share = self._shares[workspace_id]
            lenders = [vm for vm in share.owners if vm != self.vm_id]
            parts = self.lender_estimates.split(
                workspace_id, share, lenders, need
            )
            for vm_id, count in parts.items():
                counts = counts_by_owner.setdefault(vm_id, {})
                counts[workspace_id] = count
        return counts_by_owner

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the state of each share by workspace id."""
        return {
            workspace_id: share.describe()
            for workspace_id, share in self._shares.items()
        }

    def _create_share(
        self,
        workspace_id: str,
        params: LimitParameters,
        owners: tuple[str, ...],
    ) -> WorkspaceShare:
        policy = self.policy
        share = WorkspaceShare(
            params,
            self._clock,
            self._metrics,
            interval_s=policy.borrow_interval_ms / _MS_PER_S,
            initial_wait_s=policy.permit_lifetime_ms / _MS_PER_S,
        )
        share.set_initial_owners(self.vm_id, owners)
        for until, previous in self._history.list_previous(
            policy.handover_seconds
        ):
            previous_owners = previous.find_owners(workspace_id, params)
            share.cap_fraction(
                until, compute_fraction(self.vm_id, previous_owners)
            )
        share.refresh()
        return share

    def _change_share(
        self,
        workspace_id: str,
        share: WorkspaceShare,
        params: LimitParameters,
        owners: tuple[str, ...],
    ) -> None:
        interval_s = self.policy.borrow_interval_ms / _MS_PER_S
        share.meter.change_interval(interval_s)
        handover_s = self.policy.handover_seconds
        if share.change(params, self.vm_id, owners, handover_s):
            self._decisions.record(
                'token_share_waits',
                workspace_id,
                reason='another VM may still use the gained share',
                observation=f'owners are now {", ".join(owners)}',
                setting='handover_seconds',
            )

    def _predict_need(self, workspace_id: str, share: WorkspaceShare) -> int:
        demand = share.meter.predict()
        exceeds = demand > share.own_rate * share.meter.interval_s
        if exceeds and not share.is_borrowing:
            _record_borrowing(self._decisions, workspace_id, demand)
        share.is_borrowing = exceeds
        if not exceeds:
            return 0
        horizon_s = share.params.lifetime_s * _PREFETCH_LIFETIME_FRACTION
        intervals = min(1, horizon_s / share.meter.interval_s)
        buffer = share.own_capacity * _BUFFER_FRACTION
        own = max(0.0, share.level - buffer)
        usable = share.borrowed_permits.count_usable(share.min_lifetime_s)
        expected = demand * intervals
        target = expected + math.sqrt(expected)
        return math.ceil(target - own - usable)

    def _estimate_retry_ms(self, share: WorkspaceShare) -> int:
        waits_ms = []
        if share.own_rate > 0:
            missing = max(0.0, 1 - share.level)
            waits_ms.append(missing / share.own_rate * _MS_PER_S)
        if self.policy.lending_enabled and set(share.owners) - {self.vm_id}:
            next_token_ms = _MS_PER_S / share.params.rate
            waits_ms.append(max(self.policy.borrow_interval_ms, next_token_ms))
        return max(1, math.ceil(min(waits_ms, default=_NO_SHARE_RETRY_MS)))


def _record_borrowing(
    decisions: DecisionLog,
    workspace_id: str,
    demand: float,
) -> None:
    decisions.record(
        'borrowing_started',
        workspace_id,
        reason='demand on this VM exceeds its own share',
        observation=f'{demand} permits per interval',
        setting='lending_enabled',
    )


def _check_unexpired(metrics: Metrics, grant: Grant, now: float) -> None:
    metrics.check(
        'expired_permit_not_granted',
        grant.expires_at > now,
        f'expired at {grant.expires_at}, now {now}',
    )
