"""This VM's part of rights that only VMs with callers use."""

import itertools

from jacinthcart.directory._answers import DirectoryParameters, list_strongest
from jacinthcart.fleet import MemberRecord, MemberTable

#: Part of a right that the VMs which directory answers name have together.
#: The others get requests only from callers with an old answer.
_NAMED_PART = 0.7


class ServingShares:
    """Divides fleet-wide rights among the VMs that callers are told to use.

    Every VM computes the same division from the same members, silent ones
    included, so that a right is not used twice while a loss spreads.
    """

    def __init__(
        self, members: MemberTable, terms: DirectoryParameters
    ) -> None:
        """Keep the members."""
        self._members = members
        self._terms = terms
        self._computed_for: list[MemberRecord] = []
        self._share = 1.0
        self._named: frozenset[str] = frozenset()

    def find_own_share(self) -> float:
        """Return this VM's part of a right, above 0 and at most 1."""
        self._refresh()
        # More members are assumed than known just after a start.
        assumed = self._members.count_members()
        if assumed > len(self._computed_for):
            return min(self._share, 1 / assumed)
        return self._share

    def rank_advertised(self, key: str) -> list[str]:
        """Return the live VMs with callers in the order for `key`.

        All live VMs are returned if none of the named ones lives, and none
        while this VM is still finding the others: each new process would
        take itself for the first.
        """
        if not self._members.discovery.is_complete:
            return []
        self._refresh()
        ranked = self._members.rank(key)
        named = [address for address in ranked if address in self._named]
        return named or ranked

    def _refresh(self) -> None:
        records = self._members.list_counted()
        if self._computed_for is not records:
            self._computed_for = records
            self._share = self._compute(records)

    def _compute(self, records: list[MemberRecord]) -> float:
        strongest = list_strongest(records, self._terms)
        self._named = frozenset(itertools.chain(*strongest.values()))
        named = len(self._named)
        is_named = self._members.own.address in self._named
        others = len(records) - named
        if not others:
            return 1 / named
        return _NAMED_PART / named if is_named else (1 - _NAMED_PART) / others
