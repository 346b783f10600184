"""This VM's part of rights that only VMs with callers use."""

from jacinthcart.directory._answers import DirectoryTerms, list_strongest
from jacinthcart.fleet import MemberRecord, MemberTable

#: Part of a right that the VMs which directory answers name have together.
#: The others get requests only from callers with an old answer.
_NAMED_PART = 0.7


class ServingShares:
    """Divides fleet-wide rights among the VMs that callers are told to use.

    Every VM computes the same division from the same members, silent ones
    included, so that a right is not used twice while a loss spreads.
    """

    def __init__(self, members: MemberTable, terms: DirectoryTerms) -> None:
        """Keep the members."""
        self._members = members
        self._terms = terms
        self._computed_for: list[MemberRecord] = []
        self._share = 1.0

    def find_own(self) -> float:
        """Return this VM's part of a right, above 0 and at most 1."""
        records = self._members.list_counted()
        if self._computed_for is not records:
            self._computed_for = records
            self._share = self._compute(records)
        # More members are assumed than known just after a start.
        assumed = self._members.count_members()
        if assumed > len(records):
            return min(self._share, 1 / assumed)
        return self._share

    def _compute(self, records: list[MemberRecord]) -> float:
        strongest = list_strongest(records, self._terms)
        named = sum(len(addresses) for addresses in strongest.values())
        own = self._members.own
        is_named = own.address in strongest[own.data_centre]
        others = len(records) - named
        if not others:
            return 1 / named
        return _NAMED_PART / named if is_named else (1 - _NAMED_PART) / others
