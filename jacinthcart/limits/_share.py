"""One VM's token share of one workspace.

A share consists of a token bucket, the state of handovers and the borrowed
permits.
"""

import dataclasses
from collections.abc import Sequence

from jacinthcart.limits._demand import DemandMeter
from jacinthcart.limits._parameters import LimitParameters
from jacinthcart.limits._permits import NO_GRANT, Grant, PermitPool
from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket

#: Permits with less than this fraction of their lifetime left are not granted,
#: because their expiry would apply to all permits of the same grant.
_MIN_LIFETIME_FRACTION = 0.1


@dataclasses.dataclass(frozen=True)
class Ceiling:
    """An upper bound that applies for a limited time."""

    #: Time in seconds until which the bound applies.
    until: float
    #: Highest permitted value.
    bound: float


def compute_fraction(vm_id: str, owners: Sequence[str]) -> float:
    """Return the fraction of the workspace's rate that the VM owns."""
    return 1 / len(owners) if vm_id in owners else 0.0


class WorkspaceShare:
    """The VM's bucket and borrowed permits of one workspace.

    Two bounds keep the fleet within rate and burst while settings change:

    - The effective fraction is the lowest one of the last
      `handover_seconds`, so that a gained fraction is used only after its
      previous owners have released it.
    - The refill rate is at most the rate of any earlier settings whose
      permits may still be valid. A permit issued at a low rate has a long
      lifetime, and a refill at a higher rate within that lifetime could
      exceed the burst.
    """

    def __init__(
        self,
        params: LimitParameters,
        clock: Clock,
        metrics: Metrics,
        *,
        interval_s: float,
        initial_wait_s: float,
    ) -> None:
        """Create a share whose empty bucket refills after `initial_wait_s`.

        Permits that a previous process of this VM issued under unknown
        settings may be valid for that long. `interval_s` is the interval in
        which demand is measured.
        """
        self.params = params
        self.owners: Sequence[str] = ()
        self.borrowed_permits = PermitPool(clock, metrics)
        self.meter = DemandMeter(interval_s, clock)
        self.is_borrowing = False
        #: Number of tokens lent to other VMs since process start.
        self.lent = 0
        self._clock = clock
        self._fraction = 0.0
        self._previous_fractions: list[Ceiling] = []
        self._start_ceilings: list[Ceiling] = []
        self._previous_rates = [Ceiling(clock() + initial_wait_s, 0.0)]
        # Refill rate without the bounds of `_previous_rates`, capacity, and
        # permit lifetime in seconds.
        self._target = (0.0, 0.0, params.lifetime_s)
        self._bucket = TokenBucket(0.0, 0.0, clock, metrics)

    @property
    def level(self) -> float:
        """Current number of tokens in the VM's own bucket."""
        self.refresh()
        return self._bucket.level

    @property
    def own_rate(self) -> float:
        """Refill rate of the VM's own bucket in tokens per second."""
        return self._bucket.rate

    @property
    def own_capacity(self) -> float:
        """Capacity of the VM's own bucket in tokens."""
        return self._bucket.capacity

    @property
    def min_lifetime_s(self) -> float:
        """Remaining lifetime in seconds below which permits are withheld."""
        return self.params.lifetime_s * _MIN_LIFETIME_FRACTION

    def set_initial_owners(self, vm_id: str, owners: Sequence[str]) -> None:
        """Set the owners without a handover.

        `delay_start` sets the time before which own tokens are not used.
        """
        self.owners = owners
        self._fraction = compute_fraction(vm_id, owners)

    def delay_start(self, until: float) -> None:
        """Disable own tokens until that time; replaces an earlier delay."""
        self.refresh()
        now = self._clock()
        ceilings = [Ceiling(until, 0.0)]
        self._start_ceilings = _drop_expired(ceilings, now)
        self.refresh()

    def cap_fraction(self, until: float, fraction: float) -> None:
        """Limit the effective fraction to `fraction` until that time."""
        self._previous_fractions.append(Ceiling(until, fraction))

    def change(
        self,
        params: LimitParameters,
        vm_id: str,
        owners: Sequence[str],
        handover_s: float,
    ) -> bool:
        """Apply new parameters and owners.

        Return whether the fraction grows, so that the gain has to wait for
        the handover.
        """
        self.refresh()
        fraction = compute_fraction(vm_id, owners)
        is_gain = fraction > self._fraction
        if fraction != self._fraction:
            self.cap_fraction(self._clock() + handover_s, self._fraction)
        self.params = params
        self.owners = owners
        self._fraction = fraction
        self.refresh()
        return is_gain

    def refresh(self) -> None:
        """Update the bucket; expired bounds are lifted as of their expiry."""
        now = self._clock()
        applied_at = float('-inf')
        while applied_at < now:
            ceilings = (
                *self._start_ceilings,
                *self._previous_fractions,
                *self._previous_rates,
            )
            applied_at = min([now, *(ceiling.until for ceiling in ceilings)])
            self._apply_bounds(applied_at)

    def count_available(self) -> int:
        """Return the number of permits that can be granted now."""
        usable = self.borrowed_permits.count_usable(self.min_lifetime_s)
        return usable + int(self.level)

    def take(self, count: int) -> Grant:
        """Take up to `count` permits: borrowed first, then own tokens."""
        borrowed = self.borrowed_permits.take(count, self.min_lifetime_s)
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
        """Debit up to `count` tokens from the own bucket."""
        self.refresh()
        taken = self._bucket.take(count)
        if not taken:
            return NO_GRANT
        return Grant(taken, self._clock() + self.params.lifetime_s)

    def describe(self) -> dict[str, float]:
        """Return the effective share, own tokens and loans for the status."""
        level = self.level
        return {
            'share': _find_lowest(
                self._fraction,
                [*self._start_ceilings, *self._previous_fractions],
            ),
            'own_rate': self.own_rate,
            'own_capacity': self.own_capacity,
            'level': level,
            'borrowed': self.borrowed_permits.count_usable(),
            'lent': self.lent,
        }

    def _apply_bounds(self, at: float) -> None:
        self._previous_fractions = _drop_expired(self._previous_fractions, at)
        self._start_ceilings = _drop_expired(self._start_ceilings, at)
        fraction = _find_lowest(
            self._fraction,
            [*self._start_ceilings, *self._previous_fractions],
        )
        params = self.params
        target = (
            fraction * params.rate,
            fraction * params.capacity,
            params.lifetime_s,
        )
        if target != self._target:
            old_rate, _, old_lifetime_s = self._target
            self._previous_rates.append(Ceiling(at + old_lifetime_s, old_rate))
            self._target = target
        self._previous_rates = _drop_expired(self._previous_rates, at)
        rate = _find_lowest(target[0], self._previous_rates)
        capacity = target[1]
        if (rate, capacity) != (self._bucket.rate, self._bucket.capacity):
            self._bucket.configure(rate, capacity, at)


def _drop_expired(ceilings: list[Ceiling], now: float) -> list[Ceiling]:
    return [ceiling for ceiling in ceilings if ceiling.until > now]


def _find_lowest(bound: float, ceilings: list[Ceiling]) -> float:
    return min([bound, *(ceiling.bound for ceiling in ceilings)])
