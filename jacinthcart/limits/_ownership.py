"""Owners of workspaces now and during the handover after a change."""

import dataclasses

from jacinthcart.limits._terms import LimitTerms
from jacinthcart.ownership import find_token_owners
from jacinthcart.program import Clock
from jacinthcart.settings import SettingsView


@dataclasses.dataclass(frozen=True)
class Ownership:
    """What the owners of every workspace are derived from."""

    #: VM ids of the roster, sorted.
    vm_ids: tuple[str, ...]
    #: Most owners of one workspace.
    share_spread: int

    def find_owners(
        self,
        workspace_id: str,
        terms: LimitTerms,
    ) -> tuple[str, ...]:
        """Return the owners of a workspace's tokens."""
        count = min(terms.owner_count, self.share_spread)
        return tuple(find_token_owners(workspace_id, self.vm_ids, count))


class OwnershipHistory:
    """Remembers what was replaced within the handover time."""

    def __init__(self, clock: Clock) -> None:
        """Start before the first roster."""
        self.current: Ownership | None = None
        self._clock = clock
        self._former: list[tuple[float, Ownership]] = []

    def take(self, view: SettingsView) -> Ownership | None:
        """Return the ownership in force; None before the first roster."""
        if view.roster is None and self.current is None:
            return None
        vm_ids = view.roster.vms_by_id if view.roster else ()
        ownership = Ownership(tuple(sorted(vm_ids)), view.policy.share_spread)
        former = self.current
        if former is not None and former != ownership:
            self._former.append((self._clock(), former))
        self.current = ownership
        return ownership

    def list_former(self, handover_s: float) -> list[tuple[float, Ownership]]:
        """Return replaced ownerships with the end of their handover."""
        earliest = self._clock() - handover_s
        self._former = [
            replaced for replaced in self._former if replaced[0] > earliest
        ]
        return [
            (replaced_at + handover_s, ownership)
            for replaced_at, ownership in self._former
        ]
