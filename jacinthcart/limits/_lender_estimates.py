"""Estimates of how many tokens the owners of a workspace can lend."""

import collections
import random
from collections.abc import Iterable, Mapping

from jacinthcart.limits._share import WorkspaceShare
from jacinthcart.program import Clock

#: Consecutive timeouts after which an owner is considered unresponsive.
_TIMEOUTS_UNTIL_UNRESPONSIVE = 2
#: Seconds after which an unresponsive owner is tried again.
_PROBE_INTERVAL_S = 0.5


class LenderEstimates:
    """Estimates what each owner can lend from its earlier replies.

    An owner that lent less than requested is assumed to have been empty at
    that time and to refill at the rate of its share. Any other owner is
    assumed to have enough tokens.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Create estimates in which every owner can lend."""
        self._clock = clock
        self._rng = rng
        self._empty_at: dict[tuple[str, str], float] = {}
        self._timeouts_by_vm: collections.Counter[str] = collections.Counter()
        self._unresponsive_until: dict[str, float] = {}

    def record_reply(
        self,
        vm_id: str,
        requested: Mapping[str, int],
        granted: Mapping[str, int],
    ) -> None:
        """Update the estimates from an owner's reply."""
        self._timeouts_by_vm.pop(vm_id, None)
        self._unresponsive_until.pop(vm_id, None)
        now = self._clock()
        for workspace_id, count in requested.items():
            if granted.get(workspace_id, 0) < count:
                self._empty_at[workspace_id, vm_id] = now
            else:
                self._empty_at.pop((workspace_id, vm_id), None)

    def record_timeout(self, vm_id: str) -> None:
        """Record a request that the owner did not answer in time."""
        self._timeouts_by_vm[vm_id] += 1
        if self._timeouts_by_vm[vm_id] >= _TIMEOUTS_UNTIL_UNRESPONSIVE:
            self._unresponsive_until[vm_id] = self._clock() + _PROBE_INTERVAL_S

    def split(
        self,
        workspace_id: str,
        share: WorkspaceShare,
        lenders: Iterable[str],
        need: int,
    ) -> dict[str, int]:
        """Distribute `need` tokens over the owners likely to lend them."""
        now = self._clock()
        candidates = [
            (self._estimate(workspace_id, share, vm_id), vm_id)
            for vm_id in lenders
            if self._unresponsive_until.get(vm_id, now) <= now
        ]
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda estimated: estimated[0])
        counts = {}
        remaining = need
        for index, (estimate, vm_id) in enumerate(candidates):
            equal_part = -(-remaining // (len(candidates) - index))
            count = min(equal_part, int(min(estimate, remaining)))
            remaining -= count
            if count > 0:
                counts[vm_id] = count
        return counts

    def _estimate(
        self,
        workspace_id: str,
        share: WorkspaceShare,
        vm_id: str,
    ) -> float:
        empty_at = self._empty_at.get((workspace_id, vm_id))
        if empty_at is None:
            return float('inf')
        elapsed_s = self._clock() - empty_at
        refilled = elapsed_s * share.params.rate / len(share.owners)
        if refilled >= share.params.capacity / len(share.owners):
            return float('inf')
        return refilled
