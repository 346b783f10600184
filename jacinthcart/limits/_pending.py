"""Requests for tokens that were sent and not answered yet."""

import dataclasses
import random
from collections.abc import Mapping

from jacinthcart.program import Clock

_SEQ_BITS = 48
#: Replies later than this carry no valid permit under any policy.
_FORGET_AFTER_S = 5


@dataclasses.dataclass
class PendingBorrow:
    """One `borrow` datagram that waits for its reply."""

    #: The VM that was asked.
    vm_id: str
    #: Tokens asked for, by workspace id.
    counts: Mapping[str, int]
    #: Time in seconds at which the datagram was sent.
    sent_at: float
    #: Whether the reply did not come in time.
    is_overdue: bool = False


class PendingBorrows:
    """Matches replies to requests, each reply once.

    Sequence numbers start at a random value: a reply to a predecessor of
    this process must not match a later request, because its tokens left
    their bucket before that request was sent.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without requests."""
        self._clock = clock
        self._next_seq = rng.getrandbits(_SEQ_BITS)
        self._borrows_by_seq: dict[int, PendingBorrow] = {}

    def add(self, vm_id: str, counts: Mapping[str, int]) -> int:
        """Keep a request that is sent now; return its number."""
        seq = self._next_seq
        self._next_seq += 1
        self._borrows_by_seq[seq] = PendingBorrow(vm_id, counts, self._clock())
        return seq

    def pop(self, seq: int, vm_id: str) -> PendingBorrow | None:
        """Return and forget the request that a reply belongs to."""
        borrow = self._borrows_by_seq.get(seq)
        if borrow is None or borrow.vm_id != vm_id:
            return None
        return self._borrows_by_seq.pop(seq)

    def is_waiting(self, seqs: list[int]) -> bool:
        """Return whether any of these requests has no reply yet."""
        return any(seq in self._borrows_by_seq for seq in seqs)

    def list_newly_overdue(self, timeout_s: float) -> list[str]:
        """Return VMs that did not answer in time, each request once."""
        now = self._clock()
        overdue = []
        for seq, borrow in list(self._borrows_by_seq.items()):
            age_s = now - borrow.sent_at
            if age_s > timeout_s and not borrow.is_overdue:
                borrow.is_overdue = True
                overdue.append(borrow.vm_id)
            if age_s > _FORGET_AFTER_S:
                self._borrows_by_seq.pop(seq)
        return overdue
