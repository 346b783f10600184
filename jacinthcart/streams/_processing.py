"""Limit on the processor time that reading long messages takes.

A peer in trouble may send without end, in pieces so small that parsing them
takes most of the processor time. Other work of the process would wait.
"""

import dataclasses
import functools
import heapq
import itertools
import math
import time
from collections.abc import Callable, Coroutine, Set
from typing import Any, TypeVar

import anyio
from anyio.lowlevel import checkpoint

from jacinthcart.streams._steps import MeasuredSteps

_Parsed = TypeVar('_Parsed')
_Returned = TypeVar('_Returned')

#: Bytes that are parsed at once where each may be a piece that costs calls.
SLICE_BYTES = 4096
#: Bytes that are parsed at once where they are only copied.
COPY_SLICE_BYTES = 65536
#: Shortest wait in seconds for processor time, so that waits need few timers.
_MIN_WAIT_S = 0.001
#: Half-life in seconds of what a source has used, when sources are compared.
_RECENT_HALF_LIFE_S = 2.0
#: Sources whose use is remembered. Those unused for longest are dropped.
_MAX_SOURCES = 1024


@dataclasses.dataclass(frozen=True)
class ProcessingParameters:
    """Limits of the processor time for long messages."""

    #: Share of one processor that all long messages together may take.
    processor_share: float = 0.15
    #: Processor seconds that may be taken at once after a time of less use.
    burst_s: float = 0.05
    #: Bytes of each message that are parsed without a limit. Ordinary messages
    #: that are parsed piece by piece are not longer.
    free_bytes: int = SLICE_BYTES
    #: The same for bytes that are only copied.
    free_copied_bytes: int = COPY_SLICE_BYTES
    #: Processor seconds of one message after which other tasks get a turn.
    turn_s: float = 0.0005


class _Waiter:
    """A message that waits for processor time."""

    def __init__(self) -> None:
        """Create a waiter that has not got its turn."""
        self.is_granted = False
        self.event = anyio.Event()


class _Source:
    """What the messages of one source have used, and those that wait."""

    def __init__(self, used_at: float) -> None:
        """Create a source that has used nothing."""
        self.used_s = 0.0
        #: Waiting messages, by what each has used and their order.
        self.waiting: list[tuple[float, int, _Waiter]] = []
        self._recent_s = 0.0
        self._used_at = used_at

    def record(self, used_s: float, now: float) -> None:
        """Record processor seconds used."""
        self.used_s += used_s
        self._recent_s = self.compute_recent_s(now) + used_s
        self._used_at = now

    def compute_recent_s(self, now: float) -> float:
        """Return the processor seconds used, which count less with age."""
        age_s = now - self._used_at
        return self._recent_s * math.exp2(-age_s / _RECENT_HALF_LIFE_S)


class ProcessingBudget:
    """Bounds the processor time that long messages take together.

    A token bucket of processor seconds is filled at a share of the processor.
    While it is empty, long messages wait unread, so that TCP holds their
    senders back. The next to be served is of the source that has recently
    used least and, of this source, the message that has used least. A sound
    long message passes those that do not end.
    """

    def __init__(
        self,
        params: ProcessingParameters | None = None,
        clock: Callable[[], float] = anyio.current_time,
        read_processor_s: Callable[[], float] = time.thread_time,
    ) -> None:
        """Create a budget whose bucket is full.

        `clock` returns seconds that pass as anyio's time does;
        `read_processor_s` returns the processor seconds of this thread, or
        those of a clock that runs on while other processes interrupt it.
        """
        self.params = params or ProcessingParameters()
        self.read_processor_s = read_processor_s
        self._clock = clock
        self._left_s = self.params.burst_s
        self._filled_at: float | None = None
        #: Sources, the last used one last.
        self._sources: dict[str, _Source] = {}
        self._order = itertools.count()
        #: The waiter that lets the others go on in time.
        self._leader: _Waiter | None = None
        #: The waiter that has got its turn and not yet used it.
        self._granted: _Waiter | None = None

    @property
    def used_s_by_source(self) -> dict[str, float]:
        """Processor seconds used by long messages, by their source."""
        return {name: one.used_s for name, one in self._sources.items()}

    @property
    def waiting_messages(self) -> int:
        """Number of messages that wait for processor time."""
        return sum(len(one.waiting) for one in self._sources.values())

    def open(self, source: str) -> 'MessageProcessing':
        """Return the processing of one message.

        `source` is who sends it, such as a searcher's id.
        """
        return MessageProcessing(self, source)

    def retain_only(self, sources: Set[str]) -> None:
        """Drop what other sources used, unless their messages are waiting."""
        for name, source in list(self._sources.items()):
            if name not in sources and not source.waiting:
                self._sources.pop(name)

    def must_wait(self) -> bool:
        """Return whether a message must wait for its next turn."""
        return self._left_s <= 0 or self._leader is not None

    async def wait_turn(self, source_name: str, used_s: float) -> _Waiter:
        """Wait until a message that has used `used_s` may go on.

        Return the turn. It must be recorded before anything is awaited.
        """
        waiter = _Waiter()
        source = self._get_source(source_name)
        entry = (used_s, next(self._order), waiter)
        heapq.heappush(source.waiting, entry)
        try:
            await self._wait(waiter)
        except BaseException:
            self._leave(source, entry)
            raise
        finally:
            self._pass_lead(waiter)
        return waiter

    def record(
        self, source_name: str, used_s: float, turn: _Waiter | None
    ) -> None:
        """Record processor seconds used, which ends `turn` if there is one."""
        now = self._clock()
        source = self._get_source(source_name)
        source.record(used_s, now)
        self._fill(now)
        # One slice that took unusually long does not stop all others.
        self._left_s = max(self._left_s - used_s, -self.params.burst_s)
        if turn is not None and self._granted is turn:
            self._granted = None
            self._wake_leader()

    async def _wait(self, waiter: _Waiter) -> None:
        has_waited = False
        while not waiter.is_granted:
            wait_s = math.inf
            if self._leader is None:
                self._leader = waiter
            if self._leader is waiter:
                wait_s = self._grant_next()
            if waiter.is_granted:
                break
            has_waited = True
            await _wait_for_event(waiter.event, wait_s)
            if not waiter.is_granted:
                waiter.event = anyio.Event()
        if not has_waited:
            await checkpoint()

    def _grant_next(self) -> float:
        """Let the next message go on if one may.

        Return the seconds to wait; infinity until `record` is called.
        """
        if self._granted is not None:
            return math.inf
        now = self._clock()
        self._fill(now)
        if self._left_s <= 0:
            share = self.params.processor_share
            return max(-self._left_s / share, _MIN_WAIT_S)
        source = min(
            (one for one in self._sources.values() if one.waiting),
            key=lambda one: one.compute_recent_s(now),
        )
        waiter = heapq.heappop(source.waiting)[-1]
        waiter.is_granted = True
        self._granted = waiter
        waiter.event.set()
        return math.inf

    def _leave(
        self, source: _Source, entry: tuple[float, int, _Waiter]
    ) -> None:
        """Remove a waiter that is cancelled."""
        waiter = entry[-1]
        if self._granted is waiter:
            self._granted = None
            self._wake_leader()
        elif entry in source.waiting:
            source.waiting.remove(entry)
            heapq.heapify(source.waiting)

    def _pass_lead(self, waiter: _Waiter) -> None:
        if self._leader is not waiter:
            return
        self._leader = None
        for source in self._sources.values():
            if source.waiting:
                self._leader = source.waiting[0][-1]
                self._wake_leader()
                return

    def _wake_leader(self) -> None:
        if self._leader is not None:
            self._leader.event.set()

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            filled_s = (now - self._filled_at) * self.params.processor_share
            self._left_s = min(self._left_s + filled_s, self.params.burst_s)
        self._filled_at = now

    def _get_source(self, name: str) -> _Source:
        source = self._sources.pop(name, None) or _Source(self._clock())
        self._sources[name] = source
        if len(self._sources) > _MAX_SOURCES:
            for other_name, other in self._sources.items():
                if other is not source and not other.waiting:
                    self._sources.pop(other_name)
                    break
        return source


async def _wait_for_event(event: anyio.Event, timeout_s: float) -> None:
    # Most waiters have no timeout, and a cancel scope costs more than a wait.
    if timeout_s == math.inf:
        await event.wait()
        return
    with anyio.move_on_after(timeout_s):
        await event.wait()


class MessageProcessing:
    """The processing of one message. Its parts are processed in order."""

    def __init__(self, budget: ProcessingBudget, source: str) -> None:
        """Create it for a message of which nothing is parsed."""
        #: Processor seconds used beyond the free bytes.
        self.used_s = 0.0
        #: Bytes parsed beyond the free ones.
        self.limited_bytes = 0
        self._budget = budget
        self._source = source
        #: The part of the free bytes that is used up, from 0 to 1.
        self._free_used = 0.0
        self._used_in_turn_s = 0.0
        #: Whether it has had a turn, the rest of which it may use.
        self._has_turn = False
        #: The work in progress.
        self._steps: MeasuredSteps[Any] | None = None

    @property
    def is_long(self) -> bool:
        """Return whether the message has used its free bytes."""
        return self.limited_bytes > 0

    def record_free(self, length: int) -> None:
        """Record that `length` of the free bytes were parsed elsewhere."""
        self._free_used += length / self._budget.params.free_bytes

    async def process(
        self,
        length: int,
        parse: Callable[[], _Parsed],
        *,
        is_copied: bool = False,
    ) -> _Parsed:
        """Call `parse`, which parses the next `length` bytes.

        Wait before it for the message's turn, which may be cancelled, unless
        the bytes are within the free ones. `is_copied` states that they are
        only copied. `parse` must be short: SLICE_BYTES, or COPY_SLICE_BYTES
        if they are copied or have shown to be cheap. Return what it returns.
        """
        if self._take_free(length, is_copied=is_copied):
            return parse()
        self.limited_bytes += length
        turn = await self._take_turn()
        budget = self._budget
        started_s = budget.read_processor_s()
        try:
            return parse()
        finally:
            self._record(turn, budget.read_processor_s() - started_s)

    async def run(
        self, work: Callable[[], Coroutine[Any, Any, _Returned]]
    ) -> _Returned:
        """Await `work` in a turn and record the processor time of its steps.

        The wait for the turn may be cancelled. Steps after the first one are
        recorded, but do not wait. Short works share a turn: a wait for each
        would take about as long as they do.
        """
        turn = await self._take_turn()
        steps = MeasuredSteps(
            work(),
            self._budget.read_processor_s,
            functools.partial(self._record, turn),
        )
        self._steps = steps
        try:
            returned: _Returned = await steps
        finally:
            self._steps = None
        return returned

    def has_rest(self) -> bool:
        """Return whether the work that calls this may use more of its turn."""
        used_s = self._used_in_turn_s
        if self._steps is not None:
            used_s += self._steps.compute_used_s()
        return used_s < self._budget.params.turn_s

    async def _take_turn(self) -> _Waiter | None:
        """Wait for a turn if the last one is used up; return a new one."""
        budget = self._budget
        is_used_up = self._used_in_turn_s >= budget.params.turn_s
        if not is_used_up and (self._has_turn or not budget.must_wait()):
            return None
        turn = await budget.wait_turn(self._source, self.used_s)
        self._used_in_turn_s = 0
        self._has_turn = True
        return turn

    def _record(self, turn: _Waiter | None, used_s: float) -> None:
        self.used_s += used_s
        self._used_in_turn_s += used_s
        self._budget.record(self._source, used_s, turn)

    def _take_free(self, length: int, *, is_copied: bool) -> bool:
        if self._free_used >= 1:
            return False
        params = self._budget.params
        free_bytes = (
            params.free_copied_bytes if is_copied else params.free_bytes
        )
        self._free_used += length / free_bytes
        return self._free_used <= 1
