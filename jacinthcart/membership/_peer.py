"""Sends heartbeats to one peer."""

import collections
from collections.abc import Awaitable, Callable

import anyio

from jacinthcart.program import Clock
from jacinthcart.settings import Endpoint

#: Sends the heartbeat with a sequence number to an endpoint.
HeartbeatSender = Callable[[int, Endpoint], Awaitable[None]]

_MAX_TRACKED_HEARTBEATS = 64
#: Unanswered heartbeats after which a peer counts as unreachable.
_INITIAL_ATTEMPTS = 3
_INITIAL_INTERVAL_S = 0.2
#: Limits the datagram rate while many changes arrive.
_MIN_INTERVAL_S = 0.1


class PeerHeartbeats:
    """Sends heartbeats to one peer and records when each was sent."""

    def __init__(
        self,
        endpoint: Endpoint,
        send: HeartbeatSender,
        clock: Clock,
        first_seq: int,
    ) -> None:
        """Start without sending.

        Set the interval in seconds and the phase (0 to 1) before `run`.
        """
        self.endpoint = endpoint
        self.interval_s = 1.0
        self.phase = 0.0
        self.acknowledged = False
        self._send = send
        self._clock = clock
        self._seq = first_seq
        self._first_seq = first_seq
        self._in_phase = False
        self._sent_at_by_seq: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._pushed = anyio.Event()
        self._stopped = anyio.Event()

    @property
    def is_initial_probe_done(self) -> bool:
        """Return whether the peer answered or missed all initial attempts."""
        sent = self._seq - self._first_seq
        return self.acknowledged or sent > _INITIAL_ATTEMPTS

    def push(self) -> None:
        """Request a heartbeat as soon as the minimum interval has passed."""
        self._in_phase = False
        self._pushed.set()

    def stop(self) -> None:
        """End `run`."""
        self._stopped.set()
        self._pushed.set()

    def acknowledge(self, seq: int) -> float | None:
        """Record an acknowledgement; return when its heartbeat was sent.

        Return None if no heartbeat with this number awaits one.
        """
        sent_at = self._sent_at_by_seq.pop(seq, None)
        if sent_at is not None:
            self.acknowledged = True
        return sent_at

    async def run(self) -> None:
        """Send until stopped or cancelled."""
        while not self._stopped.is_set():
            self._pushed = anyio.Event()
            await self._send_next()
            await self._wait()

    async def _send_next(self) -> None:
        self._seq += 1
        self._sent_at_by_seq[self._seq] = self._clock()
        if len(self._sent_at_by_seq) > _MAX_TRACKED_HEARTBEATS:
            self._sent_at_by_seq.popitem(last=False)
        await self._send(self._seq, self.endpoint)

    async def _wait(self) -> None:
        if not self.is_initial_probe_done:
            await anyio.sleep(_INITIAL_INTERVAL_S)
            return
        await anyio.sleep(_MIN_INTERVAL_S)
        with anyio.move_on_after(self._compute_delay_s() - _MIN_INTERVAL_S):
            await self._pushed.wait()

    def _compute_delay_s(self) -> float:
        """Return the seconds until the next regular heartbeat.

        A push sends to all peers at the same time. Each peer's phase then
        spreads the regular heartbeats over the interval again, so that
        updates from some peer arrive several times per interval.
        """
        if self._in_phase:
            return self.interval_s
        self._in_phase = True
        return self.interval_s * self.phase
