"""Records of the other members, ordered by their last change."""

import dataclasses
import math
import zlib

from jacinthcart.fleet._messages import MemberRecord

#: Hash buckets in which two lists are compared. The 89 VMs of the largest
#: deployment give about three records a bucket, so that few unchanged records
#: are sent along with a changed one.
_BUCKETS = 32
#: Each bucket is described by the sum of its records' checksums, modulo 2**16.
_SUM_MASK = 0xFFFF
_SUM_DIGITS = 4


@dataclasses.dataclass(frozen=True)
class _LoggedRecord:
    """A record and the time of its last change on this VM."""

    record: MemberRecord
    #: Time in seconds on this VM's clock.
    changed_at: float
    #: Whether to send the change to others, who may not know it yet.
    disseminate: bool


class MemberLog:
    """Keeps the latest record of each other member."""

    def __init__(self) -> None:
        """Start without records."""
        # A changed record moves to the end, so records are in order of change.
        self._logged_by_address: dict[str, _LoggedRecord] = {}
        self._sums = [0 for _ in range(_BUCKETS)]

    def put(
        self, record: MemberRecord, changed_at: float, *, disseminate: bool
    ) -> None:
        """Add a record or replace the previous one of its member."""
        self.remove(record.address)
        self._sums[_compute_bucket(record)] += _compute_checksum(record)
        self._logged_by_address[record.address] = _LoggedRecord(
            record, changed_at, disseminate
        )

    def remove(self, address: str) -> None:
        """Drop a member's record if there is one."""
        logged = self._logged_by_address.pop(address, None)
        if logged is not None:
            record = logged.record
            self._sums[_compute_bucket(record)] -= _compute_checksum(record)

    def get_record(self, address: str) -> MemberRecord | None:
        """Return a member's record if it is known."""
        logged = self._logged_by_address.get(address)
        return logged.record if logged else None

    def get_change_time(self, address: str) -> float:
        """Return the time of a record's last change; infinity if unknown."""
        logged = self._logged_by_address.get(address)
        return logged.changed_at if logged else math.inf

    def describe(self, own: MemberRecord) -> str:
        """Return the checksums of all buckets in hexadecimal, `own` included.

        They are equal on VMs with the same records.
        """
        sums = list(self._sums)
        sums[_compute_bucket(own)] += _compute_checksum(own)
        return ''.join(f'{one & _SUM_MASK:0{_SUM_DIGITS}x}' for one in sums)

    def list_differing_buckets(
        self, described: str, other: str
    ) -> list[list[MemberRecord]]:
        """Return the records of the buckets in which descriptions differ.

        `described` describes this VM's list, `other` that of another VM.
        """
        ours = _split(described)
        theirs = _split(other)
        records_by_bucket: dict[int, list[MemberRecord]] = {}
        for record in self.list_records():
            bucket = _compute_bucket(record)
            if ours[bucket] != theirs[bucket]:
                records_by_bucket.setdefault(bucket, []).append(record)
        return list(records_by_bucket.values())

    def list_records(self) -> list[MemberRecord]:
        """Return all records, the most recently changed one last."""
        return [one.record for one in self._logged_by_address.values()]

    def list_changed_before(self, timestamp: float) -> list[MemberRecord]:
        """Return the records that have not changed since `timestamp`."""
        return [
            one.record
            for one in self._logged_by_address.values()
            if one.changed_at < timestamp
        ]

    def list_recent(self, since: float) -> list[MemberRecord]:
        """Return records to disseminate that changed since then, newest first.

        Records learned by anti-entropy are not disseminated.
        """
        recent = []
        for one in reversed(self._logged_by_address.values()):
            if one.changed_at < since:
                break
            if one.disseminate:
                recent.append(one.record)
        return recent


def _compute_bucket(record: MemberRecord) -> int:
    return zlib.crc32(record.address.encode()) % _BUCKETS


def _split(described: str) -> list[str]:
    starts = range(0, _BUCKETS * _SUM_DIGITS, _SUM_DIGITS)
    return [described[start : start + _SUM_DIGITS] for start in starts]


def _compute_checksum(record: MemberRecord) -> int:
    packed = ' '.join(map(str, record.pack()))
    return zlib.crc32(packed.encode())
