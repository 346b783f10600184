"""All token shares and borrowed permits of one VM."""

import dataclasses
import math
import random
from collections.abc import Iterable, Mapping

from jacinthcart.limits._lenders import LenderBook
from jacinthcart.limits._ownership import OwnershipHistory
from jacinthcart.limits._permits import Grant
from jacinthcart.limits._share import WorkspaceShare, find_fraction
from jacinthcart.limits._terms import LimitTerms, create_terms
from jacinthcart.program import CLOCK_RATE_MARGIN, Clock
from jacinthcart.settings import Policy, SettingsView
from jacinthcart.telemetry import DecisionLog, Metrics

_MS_PER_S = 1000
#: Retry delay when neither this VM nor another one owns a share.
_NO_SHARE_RETRY_MS = 1000
#: The own bucket above this level counts toward the next round's demand.
_BUFFER_SHARE = 0.5
#: Part of a permit's lifetime that demand is borrowed for in advance.
_HORIZON_LIFETIME_SHARE = 0.5
#: Part of a permit's lifetime that a request waits for loans at most.
_PATIENCE_LIFETIME_SHARE = 0.3

CountsByOwner = dict[str, dict[str, int]]


@dataclasses.dataclass(frozen=True)
class AcquireResult:
    """What one call for permits got."""

    #: Permits by workspace id; workspaces without any are left out.
    granted: dict[str, Grant]
    #: Milliseconds until a token can be expected, by workspace that got
    #: less than it asked for.
    retry_after_ms: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Loan:
    """Tokens that left an owner's bucket for another VM."""

    #: Number of tokens.
    count: int
    #: Lifetime in milliseconds from the moment they left the bucket.
    lifetime_ms: float


class TokenLedger:
    """Grants, lends and receives permits for one VM.

    Every method completes without waiting, so that a debit and the record
    of it cannot be separated.
    """

    def __init__(
        self,
        vm_id: str,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
        rng: random.Random | None = None,
    ) -> None:
        """Start without settings: nothing is granted or lent."""
        self.vm_id = vm_id
        self.policy = Policy()
        self.book = LenderBook(clock, rng or random.Random())
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._shares: dict[str, WorkspaceShare] = {}
        self._history = OwnershipHistory(clock)
        self._rights_since = math.inf

    def apply_settings(self, view: SettingsView) -> None:
        """Take the settings in force; lower or lost shares apply at once.

        A process that starts waits `handover_seconds` for its shares unless
        the roster is known to be older; a share gained later waits too.
        """
        self.policy = view.policy
        ownership = self._history.take(view)
        if ownership is None:
            return
        for workspace_id in set(self._shares) - set(view.workspaces_by_id):
            self._shares.pop(workspace_id)
        for workspace_id, workspace in view.workspaces_by_id.items():
            terms = create_terms(workspace, view.policy)
            owners = ownership.find_owners(workspace_id, terms)
            share = self._shares.get(workspace_id)
            if share is None:
                share = self._create_share(workspace_id, terms, owners)
                self._shares[workspace_id] = share
            else:
                self._change_share(workspace_id, share, terms, owners)
        self.record_roster_activation(self._clock())

    def record_roster_activation(self, since: float) -> None:
        """Take since when the first roster is known to be in force.

        Own tokens are used `handover_seconds` later. An earlier time that
        is known stays.
        """
        self._rights_since = min(self._rights_since, since)
        until = self._rights_since + self.policy.handover_seconds
        for share in self._shares.values():
            share.hold_start(until)

    def acquire(self, counts: Mapping[str, int]) -> AcquireResult:
        """Grant up to the requested permits from what this VM holds."""
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

    def find_shortage(self, counts: Mapping[str, int]) -> dict[str, int]:
        """Return the permits that this VM lacks, by workspace id."""
        shortage = {}
        for workspace_id, count in counts.items():
            share = self._shares.get(workspace_id)
            missing = count - share.count_available() if share else 0
            if missing > 0:
                shortage[workspace_id] = missing
        return shortage

    def find_patience_s(self, workspace_ids: Iterable[str]) -> float:
        """Return how long a request for these workspaces waits for loans.

        The permits that are already held age while the others are awaited.
        """
        waits_s = [self.policy.borrow_timeout_ms / _MS_PER_S]
        for workspace_id in workspace_ids:
            share = self._shares.get(workspace_id)
            if share is not None:
                lifetime_s = share.terms.lifetime_s
                waits_s.append(lifetime_s * _PATIENCE_LIFETIME_SHARE)
        return min(waits_s)

    def lend(self, counts: Mapping[str, int]) -> dict[str, Loan]:
        """Debit and return what another VM may use of the own buckets.

        What local demand of the last interval or of the last span needs
        stays here. With the last interval alone, VMs whose demand comes in
        waves lent each other tokens between the waves that then expired.
        """
        loans = {}
        for workspace_id, count in counts.items():
            share = self._shares.get(workspace_id)
            if share is None or not self.policy.lending_enabled:
                continue
            level = share.level
            lendable = int(max(0.0, level - share.meter.count_kept_back()))
            grant = share.take_own(min(count, lendable))
            self._metrics.check(
                'lent_no_more_than_held',
                grant.count <= level,
                f'{workspace_id}: lent {grant.count} of {level}',
            )
            if grant.count:
                share.lent += grant.count
                lifetime_ms = share.terms.lifetime_s * _MS_PER_S
                loans[workspace_id] = Loan(grant.count, lifetime_ms)
        return loans

    def receive_loan(
        self,
        granted: Mapping[str, Loan],
        sent_at: float,
    ) -> None:
        """Keep borrowed permits; their lifetime counts from `sent_at`.

        `sent_at` is when the request was sent: the lender debited later.
        """
        for workspace_id, loan in granted.items():
            share = self._shares.get(workspace_id)
            lifetime_s = loan.lifetime_ms / _MS_PER_S * CLOCK_RATE_MARGIN
            expires_at = sent_at + lifetime_s
            if share is None or expires_at <= self._clock():
                self._metrics.count('loans_received_late', amount=loan.count)
            else:
                share.stock.add(loan.count, expires_at)

    def plan_borrowing(self) -> CountsByOwner:
        """Return what to ask each owner for in the next round.

        Workspaces whose own share covers the demand are left out.
        """
        needs = {}
        for workspace_id, share in self._shares.items():
            share.refresh()
            need = self._predict_need(workspace_id, share)
            if need > 0:
                needs[workspace_id] = need
        return self.split(needs)

    def split(self, needs: Mapping[str, int]) -> CountsByOwner:
        """Split needed tokens by workspace over the other owners."""
        counts_by_owner: CountsByOwner = {}
        if not self.policy.lending_enabled:
            return counts_by_owner
        for workspace_id, need in needs.items():
            share = self._shares[workspace_id]
            lenders = [vm for vm in share.owners if vm != self.vm_id]
            parts = self.book.split(workspace_id, share, lenders, need)
            for vm_id, count in parts.items():
                counts = counts_by_owner.setdefault(vm_id, {})
                counts[workspace_id] = count
        return counts_by_owner

    def describe(self) -> dict[str, dict[str, float]]:
        """Return what this VM holds and lent, by workspace id."""
        return {
            workspace_id: share.describe()
            for workspace_id, share in self._shares.items()
        }

    def _create_share(
        self,
        workspace_id: str,
        terms: LimitTerms,
        owners: tuple[str, ...],
    ) -> WorkspaceShare:
        policy = self.policy
        share = WorkspaceShare(
            terms,
            self._clock,
            self._metrics,
            interval_s=policy.borrow_interval_ms / _MS_PER_S,
            quiet_s=policy.permit_lifetime_ms / _MS_PER_S,
        )
        share.start(self.vm_id, owners)
        for until, former in self._history.list_former(policy.handover_seconds):
            former_owners = former.find_owners(workspace_id, terms)
            share.hold_back(until, find_fraction(self.vm_id, former_owners))
        share.refresh()
        return share

    def _change_share(
        self,
        workspace_id: str,
        share: WorkspaceShare,
        terms: LimitTerms,
        owners: tuple[str, ...],
    ) -> None:
        interval_s = self.policy.borrow_interval_ms / _MS_PER_S
        share.meter.change_interval(interval_s)
        handover_s = self.policy.handover_seconds
        if share.change(terms, self.vm_id, owners, handover_s):
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
        horizon_s = share.terms.lifetime_s * _HORIZON_LIFETIME_SHARE
        intervals = min(1, horizon_s / share.meter.interval_s)
        buffer = share.own_capacity * _BUFFER_SHARE
        own = max(0.0, share.level - buffer)
        usable = share.stock.count_usable(share.least_lifetime_s)
        expected = demand * intervals
        target = expected + math.sqrt(expected)
        return math.ceil(target - own - usable)

    def _estimate_retry_ms(self, share: WorkspaceShare) -> int:
        waits_ms = []
        if share.own_rate > 0:
            missing = max(0.0, 1 - share.level)
            waits_ms.append(missing / share.own_rate * _MS_PER_S)
        if self.policy.lending_enabled and set(share.owners) - {self.vm_id}:
            next_token_ms = _MS_PER_S / share.terms.rate
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
        observation=f'{demand} an interval',
        setting='lending_enabled',
    )


def _check_unexpired(metrics: Metrics, grant: Grant, now: float) -> None:
    metrics.check(
        'expired_permit_not_granted',
        grant.expires_at > now,
        f'expired at {grant.expires_at}, now {now}',
    )
