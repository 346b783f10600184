"""Tracks token requests that have not been answered yet."""

import dataclasses
import random
from collections.abc import Mapping

from jacinthcart.program import Clock

_SEQ_BITS = 48
#: Seconds after which a request is dropped: a later reply contains no valid
#: permit under any policy.
_RETENTION_S = 5


@dataclasses.dataclass
class PendingBorrow:
    """A `borrow` datagram that awaits its reply."""

    #: Id of the VM that the request was sent to.
    vm_id: str
    #: Requested tokens by workspace id.
    counts: Mapping[str, int]
    #: Time in seconds at which the datagram was sent.
    sent_at: float
    #: Whether the request was already reported as overdue.
    is_overdue: bool = False


class PendingBorrows:
    """Matches replies to requests; each request accepts one reply.

    Sequence numbers start at a random value, so that a reply to a request
    of a previous process does not match a request of this process. The tokens
    of such a reply were debited before the request of this process was sent,
    so their computed expiry would be too late.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Create an empty collection."""
        self._clock = clock
        self._next_seq = rng.getrandbits(_SEQ_BITS)
        self._borrows_by_seq: dict[int, PendingBorrow] = {}

    def add(self, vm_id: str, counts: Mapping[str, int]) -> int:
        """Register a request sent now; return its sequence number."""
        seq = self._next_seq
        self._next_seq += 1
        self._borrows_by_seq[seq] = PendingBorrow(vm_id, counts, self._clock())
        return seq

    def pop(self, seq: int, vm_id: str) -> PendingBorrow | None:
        """Remove and return the request that a reply belongs to.

        Return None if no request to that VM awaits a reply with this number.
        """
        borrow = self._borrows_by_seq.get(seq)
        if borrow is None or borrow.vm_id != vm_id:
            return None
        return self._borrows_by_seq.pop(seq)

    def is_waiting(self, seqs: list[int]) -> bool:
        """Return whether any of these requests is still unanswered."""
        return any(seq in self._borrows_by_seq for seq in seqs)

    def list_newly_overdue(self, timeout_s: float) -> list[str]:
        """Return the VM id of each request that has become overdue.

        Each request is reported once. Requests older than the retention time
        are dropped.
        """
        now = self._clock()
        overdue = []
        for seq, borrow in list(self._borrows_by_seq.items()):
            age_s = now - borrow.sent_at
            if age_s > timeout_s and not borrow.is_overdue:
                borrow.is_overdue = True
                overdue.append(borrow.vm_id)
            if age_s > _RETENTION_S:
                self._borrows_by_seq.pop(seq)
        return overdue
