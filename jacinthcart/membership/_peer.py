"""The heartbeats to one peer."""

import collections
from collections.abc import Awaitable, Callable

import anyio

from jacinthcart.program import Clock
from jacinthcart.settings import Endpoint

#: Sends the heartbeat with a sequence number to an endpoint.
HeartbeatSender = Callable[[int, Endpoint], Awaitable[None]]

_SENT_KEPT = 64
#: Heartbeats without an answer after which a peer counts as silent.
_FIRST_TRIES = 3
_FIRST_GAP_S = 0.2
#: Bounds the datagrams while many changes arrive.
_SHORTEST_GAP_S = 0.1


class PeerHeartbeats:
    """Sends heartbeats to one peer and knows when each was sent."""

    def __init__(
        self,
        endpoint: Endpoint,
        send: HeartbeatSender,
        clock: Clock,
        first_seq: int,
    ) -> None:
        """Prepare; set interval (s) and phase (0 to 1) before `run`."""
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
    def is_tried(self) -> bool:
        """Return whether the peer answered or stayed silent for long."""
        sent = self._seq - self._first_seq
        return self.acknowledged or sent > _FIRST_TRIES

    def push(self) -> None:
        """Ask for a heartbeat as soon as the shortest gap has passed."""
        self._in_phase = False
        self._pushed.set()

    def stop(self) -> None:
        """End `run`."""
        self._stopped.set()
        self._pushed.set()

    def acknowledge(self, seq: int) -> float | None:
        """Return when the acknowledged heartbeat was sent, if known."""
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
        if len(self._sent_at_by_seq) > _SENT_KEPT:
            self._sent_at_by_seq.popitem(last=False)
        await self._send(self._seq, self.endpoint)

    async def _wait(self) -> None:
        if not self.is_tried:
            await anyio.sleep(_FIRST_GAP_S)
            return
        await anyio.sleep(_SHORTEST_GAP_S)
        with anyio.move_on_after(self._choose_pause() - _SHORTEST_GAP_S):
            await self._pushed.wait()

    def _choose_pause(self) -> float:
        """Return the seconds until the next regular heartbeat.

        A push sends to all peers at once. Each peer's phase then spreads the
        regular heartbeats over the interval again, so that news of some peer
        arrives several times an interval.
        """
        if self._in_phase:
            return self.interval_s
        self._in_phase = True
        return self.interval_s * self.phase
