"""Records of the other members in the order of their last change."""

import dataclasses
import math
import zlib

from jacinthcart.fleet._messages import MemberRecord

#: Parts of a list that are compared on their own. The 89 VMs of the largest
#: deployment make three records a part, so few are sent needlessly.
_PARTS = 32
#: Each part is described by a sum of checksums, kept within 16 bits.
_SUM_MASK = 0xFFFF
_SUM_DIGITS = 4


@dataclasses.dataclass(frozen=True)
class _LoggedRecord:
    """A record and when it changed here."""

    record: MemberRecord
    #: Second of this VM's clock.
    changed_at: float
    #: Whether others may not know it yet.
    disseminate: bool


class MemberLog:
    """Keeps the last change of each member."""

    def __init__(self) -> None:
        """Start without records."""
        # A changed record moves to the end, so the order is that of changes.
        self._logged_by_address: dict[str, _LoggedRecord] = {}
        self._sums = [0 for _ in range(_PARTS)]

    def put(
        self, record: MemberRecord, changed_at: float, *, disseminate: bool
    ) -> None:
        """Add a record or replace the former one of its member."""
        self.remove(record.address)
        self._sums[_find_part(record)] += _compute_checksum(record)
        self._logged_by_address[record.address] = _LoggedRecord(
            record, changed_at, disseminate
        )

    def remove(self, address: str) -> None:
        """Drop a member's record if there is one."""
        logged = self._logged_by_address.pop(address, None)
        if logged is not None:
            record = logged.record
            self._sums[_find_part(record)] -= _compute_checksum(record)

    def find(self, address: str) -> MemberRecord | None:
        """Return a member's record if it is known."""
        logged = self._logged_by_address.get(address)
        return logged.record if logged else None

    def find_change(self, address: str) -> float:
        """Return when a member's record changed; infinity if unknown."""
        logged = self._logged_by_address.get(address)
        return logged.changed_at if logged else math.inf

    def describe(self, own: MemberRecord) -> str:
        """Return sums of the parts; the same for VMs with the same records."""
        sums = list(self._sums)
        sums[_find_part(own)] += _compute_checksum(own)
        return ''.join(f'{one & _SUM_MASK:0{_SUM_DIGITS}x}' for one in sums)

    def list_differing_buckets(
        self, described: str, other: str
    ) -> list[list[MemberRecord]]:
        """Return the parts in which two descriptions differ.

        `described` is of this list, `other` of another VM's.
        """
        ours = _split(described)
        theirs = _split(other)
        records_by_part: dict[int, list[MemberRecord]] = {}
        for record in self.list_records():
            part = _find_part(record)
            if ours[part] != theirs[part]:
                records_by_part.setdefault(part, []).append(record)
        return list(records_by_part.values())

    def list_records(self) -> list[MemberRecord]:
        """Return all records, the one that changed last at the end."""
        return [one.record for one in self._logged_by_address.values()]

    def list_changed_before(self, moment: float) -> list[MemberRecord]:
        """Return the records without a change since `moment`."""
        return [
            one.record
            for one in self._logged_by_address.values()
            if one.changed_at < moment
        ]

    def list_recent(self, since: float) -> list[MemberRecord]:
        """Return the records that became known since then, newest first.

        Those that were read from another member's list are left out.
        """
        recent = []
        for one in reversed(self._logged_by_address.values()):
            if one.changed_at < since:
                break
            if one.disseminate:
                recent.append(one.record)
        return recent


def _find_part(record: MemberRecord) -> int:
    return zlib.crc32(record.address.encode()) % _PARTS


def _split(described: str) -> list[str]:
    starts = range(0, _PARTS * _SUM_DIGITS, _SUM_DIGITS)
    return [described[start : start + _SUM_DIGITS] for start in starts]


def _compute_checksum(record: MemberRecord) -> int:
    packed = ' '.join(map(str, record.pack()))
    return zlib.crc32(packed.encode())
