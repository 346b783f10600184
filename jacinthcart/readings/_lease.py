"""Proof of how current this VM's copy of the store is."""

import math
from collections.abc import Callable

from jacinthcart.program import CLOCK_RATE_MARGIN, Clock


class FreshnessLease:
    """Dates the newest reading that this VM's copy is known to include.

    A reading is dated at the moment its call was sent, on a clock that
    counts suspension. A peer's reading is dated back by its age from the
    moment this VM asked the peer, so no clocks are compared and datagrams
    that waited in a buffer prove nothing newer.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without proof."""
        self.listeners: list[Callable[[float], None]] = []
        self.proof_at = -math.inf
        self.peer_proof_at = -math.inf
        self.clock = clock

    @property
    def age_s(self) -> float:
        """Seconds since the proven moment; infinite without proof."""
        return self.clock() - self.proof_at

    @property
    def peer_age_s(self) -> float:
        """Seconds since the moment proven by peers."""
        return self.clock() - self.peer_proof_at

    def is_fresh(self, bound_s: float) -> bool:
        """Return whether the proof is younger than `bound_s` seconds."""
        return self.age_s * (2 - CLOCK_RATE_MARGIN) < bound_s

    def record_own_read(self, sent_at: float) -> None:
        """Take a call to the store sent at `sent_at` that was answered."""
        self._advance_proof(sent_at)

    def record_peer_proof(self, asked_at: float, age_s: float) -> None:
        """Take a peer's proof of `age_s`, asked for at `asked_at`."""
        proven_at = asked_at - age_s * (2 - CLOCK_RATE_MARGIN)
        self.peer_proof_at = max(self.peer_proof_at, proven_at)
        self._advance_proof(proven_at)

    def _advance_proof(self, proven_at: float) -> None:
        if proven_at <= self.proof_at:
            return
        self.proof_at = proven_at
        for listener in self.listeners:
            listener(proven_at)
