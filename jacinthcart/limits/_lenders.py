"""What a borrower knows about the owners that it may ask."""

import collections
import random
from collections.abc import Iterable, Mapping

from jacinthcart.limits._share import WorkspaceShare
from jacinthcart.program import Clock

#: Consecutive unanswered requests after which an owner counts as silent.
_SILENT_AFTER = 2
#: Seconds after which a silent owner is asked again.
_PROBE_INTERVAL_S = 0.5


class LenderBook:
    """Estimates what each owner can lend, from its earlier replies.

    An owner that lent less than it was asked for is taken to be empty at
    that moment and to refill at its share's rate; any other owner is taken
    to have enough.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without knowledge: every owner can lend."""
        self._clock = clock
        self._rng = rng
        self._empty_at: dict[tuple[str, str], float] = {}
        self._missed_by_vm: collections.Counter[str] = collections.Counter()
        self._silent_until: dict[str, float] = {}

    def note_reply(
        self,
        vm_id: str,
        asked: Mapping[str, int],
        granted: Mapping[str, int],
    ) -> None:
        """Learn from what an owner lent out of what it was asked for."""
        self._missed_by_vm.pop(vm_id, None)
        self._silent_until.pop(vm_id, None)
        now = self._clock()
        for workspace_id, count in asked.items():
            if granted.get(workspace_id, 0) < count:
                self._empty_at[workspace_id, vm_id] = now
            else:
                self._empty_at.pop((workspace_id, vm_id), None)

    def note_silence(self, vm_id: str) -> None:
        """Count a request that the owner did not answer in time."""
        self._missed_by_vm[vm_id] += 1
        if self._missed_by_vm[vm_id] >= _SILENT_AFTER:
            self._silent_until[vm_id] = self._clock() + _PROBE_INTERVAL_S

    def split(
        self,
        workspace_id: str,
        share: WorkspaceShare,
        lenders: Iterable[str],
        need: int,
    ) -> dict[str, int]:
        """Split `need` tokens over the owners that can probably lend."""
        now = self._clock()
        able = [
            (self._estimate(workspace_id, share, vm_id), vm_id)
            for vm_id in lenders
            if self._silent_until.get(vm_id, now) <= now
        ]
        self._rng.shuffle(able)
        able.sort(key=lambda estimated: estimated[0])
        counts = {}
        rest = need
        for index, (estimate, vm_id) in enumerate(able):
            equal_part = -(-rest // (len(able) - index))
            count = min(equal_part, int(min(estimate, rest)))
            rest -= count
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
        elapsed = self._clock() - empty_at
        refilled = elapsed * share.terms.rate / len(share.owners)
        if refilled >= share.terms.capacity / len(share.owners):
            return float('inf')
        return refilled
