"""Tracks how current this VM's copy of the store is known to be."""

import math
from collections.abc import Callable

from jacinthcart.program import CLOCK_RATE_MARGIN, Clock


class FreshnessLease:
    """Records the time of the newest read that this VM's copy includes.

    A read of the store counts from the time its call was sent, on a clock
    that includes time spent suspended. A read by a peer counts from the
    time this VM asked the peer, minus the age that the peer reported.
    Clocks of different VMs are thus never compared, and a datagram that
    waited in a buffer does not make the copy look newer than it is.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a proof of freshness."""
        #: Called with the new `proof_at` when it advances.
        self.listeners: list[Callable[[float], None]] = []
        #: Clock time in seconds at which the copy is proven to have been
        #: current.
        self.proof_at = -math.inf
        #: Newest such time that was proven by a peer.
        self.peer_proof_at = -math.inf
        self.clock = clock

    @property
    def age_s(self) -> float:
        """Seconds since the proven time; infinite without a proof."""
        return self.clock() - self.proof_at

    @property
    def peer_age_s(self) -> float:
        """Seconds since the newest time proven by a peer."""
        return self.clock() - self.peer_proof_at

    def is_fresh(self, bound_s: float) -> bool:
        """Return whether the proof is younger than `bound_s` seconds.

        The age is increased by the margin for differing clock rates.
        """
        return self.age_s * (2 - CLOCK_RATE_MARGIN) < bound_s

    def record_own_read(self, sent_at: float) -> None:
        """Record an answered call to the store that was sent at `sent_at`."""
        self._advance_proof(sent_at)

    def record_peer_proof(self, asked_at: float, age_s: float) -> None:
        """Record a peer's proof of age `age_s`, requested at `asked_at`."""
        proven_at = asked_at - age_s * (2 - CLOCK_RATE_MARGIN)
        self.peer_proof_at = max(self.peer_proof_at, proven_at)
        self._advance_proof(proven_at)

    def _advance_proof(self, proven_at: float) -> None:
        if proven_at <= self.proof_at:
            return
        self.proof_at = proven_at
        for listener in self.listeners:
            listener(proven_at)
