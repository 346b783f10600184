"""One VM's share of one workspace: bucket, handover, borrowed permits."""

import dataclasses
from collections.abc import Sequence

from jacinthcart.limits._demand import DemandMeter
from jacinthcart.limits._permits import NO_GRANT, Grant, PermitPool
from jacinthcart.limits._terms import LimitTerms
from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket

#: Permits with less than this part of the lifetime left are not handed on:
#: their expiry would apply to all permits granted together with them.
_LEAST_LIFETIME_SHARE = 0.1


@dataclasses.dataclass(frozen=True)
class Ceiling:
    """An upper bound that holds for a limited time."""

    #: Time in seconds until which the bound holds.
    until: float
    #: The bound.
    bound: float


def find_fraction(vm_id: str, owners: Sequence[str]) -> float:
    """Return the part of the workspace's rate that the VM owns."""
    return 1 / len(owners) if vm_id in owners else 0.0


class WorkspaceShare:
    """Holds the VM's bucket and borrowed permits of one workspace.

    Two bounds keep the fleet within rate and burst while settings change.
    The fraction in use is the least one of the last `handover_seconds`, so
    that a gained fraction is used only after the others have given it up.
    The refill rate is at most that of any earlier settings whose permits
    may still be valid: a permit issued at a low rate lives long enough that
    a refill at a higher rate within its lifetime could exceed the burst.
    """

    def __init__(
        self,
        terms: LimitTerms,
        clock: Clock,
        metrics: Metrics,
        *,
        interval_s: float,
        quiet_s: float,
    ) -> None:
        """Start with an empty bucket that refills after `quiet_s`.

        Permits of a predecessor may be valid for that long, issued under
        settings that this process does not know.
        """
        self.terms = terms
        self.owners: Sequence[str] = ()
        self.stock = PermitPool(clock, metrics)
        self.meter = DemandMeter(interval_s, clock)
        self.is_borrowing = False
        #: Tokens lent to other VMs since the start of the process.
        self.lent = 0
        self._clock = clock
        self._fraction = 0.0
        self._former_fractions: list[Ceiling] = []
        self._start_ceilings: list[Ceiling] = []
        self._former_rates = [Ceiling(clock() + quiet_s, 0.0)]
        self._target = (0.0, 0.0, terms.lifetime_s)
        self._bucket = TokenBucket(0.0, 0.0, clock, metrics)

    @property
    def level(self) -> float:
        """Tokens in the VM's own bucket now."""
        self.refresh()
        return self._bucket.level

    @property
    def own_rate(self) -> float:
        """Tokens a second of the VM's own bucket."""
        return self._bucket.rate

    @property
    def own_capacity(self) -> float:
        """Most tokens in the VM's own bucket."""
        return self._bucket.capacity

    @property
    def least_lifetime_s(self) -> float:
        """Lifetime in seconds below which permits are not handed on."""
        return self.terms.lifetime_s * _LEAST_LIFETIME_SHARE

    def start(self, vm_id: str, owners: Sequence[str]) -> None:
        """Set the first owners; `hold_start` sets the wait before use."""
        self.owners = owners
        self._fraction = find_fraction(vm_id, owners)

    def hold_start(self, until: float) -> None:
        """Use no own tokens until that time, in place of an earlier one."""
        self.refresh()
        now = self._clock()
        ceilings = [Ceiling(until, 0.0)]
        self._start_ceilings = _keep_alive(ceilings, now)
        self.refresh()

    def hold_back(self, until: float, fraction: float) -> None:
        """Use at most `fraction` until that time."""
        self._former_fractions.append(Ceiling(until, fraction))

    def change(
        self,
        terms: LimitTerms,
        vm_id: str,
        owners: Sequence[str],
        handover_s: float,
    ) -> bool:
        """Take new terms and owners; return whether a gain has to wait."""
        self.refresh()
        fraction = find_fraction(vm_id, owners)
        is_gain = fraction > self._fraction
        if fraction != self._fraction:
            self.hold_back(self._clock() + handover_s, self._fraction)
        self.terms = terms
        self.owners = owners
        self._fraction = fraction
        self.refresh()
        return is_gain

    def refresh(self) -> None:
        """Apply to the bucket each bound from the moment it changed."""
        now = self._clock()
        moment = float('-inf')
        while moment < now:
            ceilings = (
                *self._start_ceilings,
                *self._former_fractions,
                *self._former_rates,
            )
            moment = min([now, *(ceiling.until for ceiling in ceilings)])
            self._apply_bounds(moment)

    def count_available(self) -> int:
        """Return the permits that could be granted now."""
        usable = self.stock.count_usable(self.least_lifetime_s)
        return usable + int(self.level)

    def take(self, count: int) -> Grant:
        """Take up to `count`: borrowed permits first, then own tokens."""
        borrowed = self.stock.take(count, self.least_lifetime_s)
        own = self.take_own(count - borrowed.count)
        if not borrowed.count:
            return own
        if not own.count:
            return borrowed
        return Grant(
            borrowed.count + own.count,
            min(borrowed.expires_at, own.expires_at),
        )

    def take_own(self, count: int) -> Grant:
        """Debit up to `count` tokens of the own bucket."""
        self.refresh()
        taken = self._bucket.take(count)
        if not taken:
            return NO_GRANT
        return Grant(taken, self._clock() + self.terms.lifetime_s)

    def describe(self) -> dict[str, float]:
        """Return share, own tokens and loans, for operators."""
        level = self.level
        return {
            'share': _find_least(
                self._fraction,
                [*self._start_ceilings, *self._former_fractions],
            ),
            'own_rate': self.own_rate,
            'own_capacity': self.own_capacity,
            'level': level,
            'borrowed': self.stock.count_usable(),
            'lent': self.lent,
        }

    def _apply_bounds(self, now: float) -> None:
        self._former_fractions = _keep_alive(self._former_fractions, now)
        self._start_ceilings = _keep_alive(self._start_ceilings, now)
        fraction = _find_least(
            self._fraction,
            [*self._start_ceilings, *self._former_fractions],
        )
        terms = self.terms
        target = (
            fraction * terms.rate,
            fraction * terms.capacity,
            terms.lifetime_s,
        )
        if target != self._target:
            old_rate, _, old_lifetime_s = self._target
            self._former_rates.append(Ceiling(now + old_lifetime_s, old_rate))
            self._target = target
        self._former_rates = _keep_alive(self._former_rates, now)
        rate = _find_least(target[0], self._former_rates)
        capacity = target[1]
        if (rate, capacity) != (self._bucket.rate, self._bucket.capacity):
            self._bucket.configure(rate, capacity, now)


def _keep_alive(ceilings: list[Ceiling], now: float) -> list[Ceiling]:
    return [ceiling for ceiling in ceilings if ceiling.until > now]


def _find_least(bound: float, ceilings: list[Ceiling]) -> float:
    return min([bound, *(ceiling.bound for ceiling in ceilings)])
