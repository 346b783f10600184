"""Current workspace owners, and previous ones during a handover."""

import dataclasses

from jacinthcart.limits._parameters import LimitParameters
from jacinthcart.ownership import find_token_owners
from jacinthcart.program import Clock
from jacinthcart.settings import SettingsView


@dataclasses.dataclass(frozen=True)
class Ownership:
    """Inputs from which the owners of each workspace are derived."""

    #: VM ids of the roster, sorted.
    vm_ids: tuple[str, ...]
    #: Maximum number of owners of one workspace.
    share_spread: int

    def find_owners(
        self,
        workspace_id: str,
        params: LimitParameters,
    ) -> tuple[str, ...]:
        """Return the owners of a workspace's tokens."""
        count = min(params.owner_count, self.share_spread)
        return tuple(find_token_owners(workspace_id, self.vm_ids, count))


class OwnershipHistory:
    """Keeps the ownerships that were replaced within the handover time."""

    def __init__(self, clock: Clock) -> None:
        """Create a history without a roster."""
        self.current: Ownership | None = None
        self._clock = clock
        self._previous: list[tuple[float, Ownership]] = []

    def update(self, view: SettingsView) -> Ownership | None:
        """Apply a view and return its ownership.

        Return None until the first roster has been received.
        """
        if view.roster is None and self.current is None:
            return None
        vm_ids = view.roster.vms_by_id if view.roster else ()
        ownership = Ownership(tuple(sorted(vm_ids)), view.policy.share_spread)
        previous = self.current
        if previous is not None and previous != ownership:
            self._previous.append((self._clock(), previous))
        self.current = ownership
        return ownership

    def list_previous(self, handover_s: float) -> list[tuple[float, Ownership]]:
        """Return replaced ownerships with the end times of their handovers."""
        earliest = self._clock() - handover_s
        self._previous = [
            replaced for replaced in self._previous if replaced[0] > earliest
        ]
        return [
            (replaced_at + handover_s, ownership)
            for replaced_at, ownership in self._previous
        ]
