"""This VM's share of fleet-wide limits that only serving VMs use."""

import itertools

from jacinthcart.directory._answers import DirectoryParameters, select_strongest
from jacinthcart.fleet import MemberRecord, MemberTable

#: Share of a limit that all VMs advertised in directory answers have
#: together. The other VMs only get requests from callers with an old answer.
_ADVERTISED_SHARE = 0.7


class ServingShares:
    """Divides fleet-wide limits, favouring the VMs advertised to callers.

    Every VM computes the same division from the same member list. Members
    that don't answer are included, so that no share is used twice before
    every VM has learned that a member is lost.
    """

    def __init__(
        self, members: MemberTable, params: DirectoryParameters
    ) -> None:
        """Create the division; `params` determine the advertised VMs."""
        self._members = members
        self._params = params
        self._computed_for: list[MemberRecord] = []
        self._share = 1.0
        self._advertised: frozenset[str] = frozenset()

    def compute_own_share(self) -> float:
        """Return this VM's share of a limit, in the range (0, 1]."""
        self._refresh()
        # A process that has just started assumes more members than it has
        # discovered.
        assumed = self._members.estimate_member_count()
        if assumed > len(self._computed_for):
            return min(self._share, 1 / assumed)
        return self._share

    def rank_advertised(self, key: str) -> list[str]:
        """Return the live advertised VMs, ranked for `key`.

        Return all live VMs if no advertised VM is live, and none while this
        VM is still discovering the members: otherwise each new process would
        rank itself first.
        """
        if not self._members.discovery.is_complete:
            return []
        self._refresh()
        ranked = self._members.rank(key)
        advertised = [
            address for address in ranked if address in self._advertised
        ]
        return advertised or ranked

    def _refresh(self) -> None:
        records = self._members.list_share_holders()
        if self._computed_for is not records:
            self._computed_for = records
            self._share = self._compute(records)

    def _compute(self, records: list[MemberRecord]) -> float:
        strongest = select_strongest(records, self._params)
        self._advertised = frozenset(itertools.chain(*strongest.values()))
        advertised = len(self._advertised)
        is_advertised = self._members.own.address in self._advertised
        others = len(records) - advertised
        if not others:
            return 1 / advertised
        return (
            _ADVERTISED_SHARE / advertised
            if is_advertised
            else (1 - _ADVERTISED_SHARE) / others
        )
