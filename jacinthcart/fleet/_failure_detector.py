"""Decides when a member that does not answer pings is suspected."""

import dataclasses
import math
from collections.abc import Callable

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class DetectionParameters:
    """Timeouts and evidence after which a member is suspected."""

    #: Seconds until an acknowledgement is overdue.
    timeout_s: float = 0.35
    #: Consecutive unanswered pings after which a member is suspected.
    misses: int = 2
    #: Helpers that didn't reach a member either, after which a single
    #: unanswered ping is enough.
    confirmations: int = 2
    #: Members that are asked to ping a member that has missed a ping. With 0,
    #: the pings of this VM alone decide.
    helpers: int = 2
    #: Seconds since the first unanswered ping after which a member is
    #: suspected although no helper has confirmed it. All helpers may have
    #: failed with it.
    unconfirmed_s: float = 1.4
    #: Maximum number by which this VM's own impairment lengthens its timeouts:
    #: they are multiplied by one more than it.
    max_penalty: int = 2


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A member that no longer answers."""

    address: str
    #: Whether another member has not reached it either.
    is_confirmed: bool


@dataclasses.dataclass
class _PingState:
    """Pings sent to one member and evidence from helpers."""

    #: Send times in seconds of unacknowledged pings, by sequence number.
    sent_at_by_seq: dict[int, float] = dataclasses.field(default_factory=dict)
    #: Consecutive pings that were not acknowledged in time.
    misses: int = 0
    #: Send time of the first of them.
    first_missed_at: float = math.inf
    #: Number of helpers that did not reach the member either.
    confirmations: int = 0
    #: Time at which helpers were asked without a reply from any so far.
    asked_at: float = math.inf

    def clear(self) -> None:
        """Forget all evidence: the member has been reached."""
        self.misses = 0
        self.first_missed_at = math.inf
        self.confirmations = 0


class FailureDetector:
    """Evidence about the members that this VM pings.

    A VM that hears nothing, runs slowly or was paused misses the answers of
    healthy members. It therefore asks other members for a second opinion
    (SWIM), and lengthens its own timeouts while there are signs that it is
    impaired itself (Lifeguard).
    """

    def __init__(
        self,
        clock: Clock,
        get_change_time: Callable[[str], float],
        params: DetectionParameters,
    ) -> None:
        """Create a detector without evidence.

        `get_change_time` returns the clock time of the last known change of a
        member's state. Evidence from before doesn't count: it concerns a
        previous process or a suspicion that has been refuted.
        """
        self._clock = clock
        self._get_change_time = get_change_time
        self._params = params
        self._pings_by_address: dict[str, _PingState] = {}
        #: Number of recent signs that this VM itself is impaired.
        self._penalty = 0
        #: Time in seconds at which the last pause of this VM ended.
        self._resumed_at = -math.inf

    @property
    def timeout_s(self) -> float:
        """Seconds until an acknowledgement is overdue on this VM now."""
        return self._params.timeout_s * (1 + self._penalty)

    def record_ping(self, address: str, seq: int) -> None:
        """Record that a ping is being sent."""
        pings = self._pings_by_address.setdefault(address, _PingState())
        pings.sent_at_by_seq[seq] = self._clock()

    def record_ack(self, address: str, seq: int) -> float | None:
        """Record an acknowledgement and return the send time of its ping.

        Return None if it is unexpected or was overdue already.
        """
        pings = self._pings_by_address.get(address)
        if pings is None:
            return None
        sent_at = pings.sent_at_by_seq.pop(seq, None)
        if sent_at is None:
            return None
        pings.clear()
        self._penalty = max(0, self._penalty - 1)
        return sent_at

    def record_helpers_asked(self, address: str) -> None:
        """Record that helpers were asked to ping a member."""
        pings = self._pings_by_address.setdefault(address, _PingState())
        pings.asked_at = min(pings.asked_at, self._clock())

    def record_helper_reply(self, address: str, *, is_reached: bool) -> None:
        """Record whether a helper has reached a member."""
        pings = self._pings_by_address.get(address)
        if pings is None:
            return
        pings.asked_at = math.inf
        if is_reached:
            # The pings in flight would be overdue as well.
            pings.sent_at_by_seq.clear()
            pings.clear()
        elif pings.misses:
            pings.confirmations += 1
            self._drop_outdated(address, pings)

    def record_impairment(self) -> None:
        """Record a sign that this VM itself is slow or hears too little."""
        self._penalty = min(self._params.max_penalty, self._penalty + 1)

    def record_pause(self) -> None:
        """Record that this VM was paused until now.

        The acknowledgements of pings in flight may have arrived and not been
        read yet, so they are waited for once more.
        """
        self._resumed_at = self._clock()
        self.record_impairment()

    def list_missing(self) -> list[str]:
        """Return the members that have not answered the last ping."""
        return [
            address
            for address, pings in self._pings_by_address.items()
            if pings.misses
        ]

    def check_overdue(self) -> None:
        """Count the pings whose acknowledgements are overdue."""
        now = self._clock()
        overdue_at = now - self.timeout_s
        for address, pings in self._pings_by_address.items():
            self._drop_outdated(address, pings)
            since = self._get_change_time(address)
            for seq, sent_at in list(pings.sent_at_by_seq.items()):
                if max(sent_at, self._resumed_at) >= overdue_at:
                    continue
                pings.sent_at_by_seq.pop(seq)
                if sent_at > since:
                    pings.misses += 1
                    pings.first_missed_at = min(pings.first_missed_at, sent_at)
            # A helper waits as long for the member as this VM does, and the
            # reply needs time as well.
            if now - pings.asked_at > 2 * self.timeout_s:
                pings.asked_at = math.inf
                self.record_impairment()

    def list_suspicions(self) -> list[Suspicion]:
        """Return the members that are to be suspected."""
        now = self._clock()
        params = self._params
        unconfirmed_s = params.unconfirmed_s * (1 + self._penalty)
        suspicions = []
        for address, pings in self._pings_by_address.items():
            self._drop_outdated(address, pings)
            is_missing = pings.misses >= params.misses
            if not is_missing and pings.confirmations < params.confirmations:
                continue
            is_confirmed = pings.confirmations > 0 or not params.helpers
            waited_s = now - pings.first_missed_at
            if is_confirmed or waited_s >= unconfirmed_s:
                suspicions.append(Suspicion(address, is_confirmed))
        return suspicions

    def _drop_outdated(self, address: str, pings: _PingState) -> None:
        if pings.misses and pings.first_missed_at <= self._get_change_time(
            address
        ):
            pings.clear()
