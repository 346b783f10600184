"""Limit on the memory that a process holds for its callers."""

import abc
import dataclasses

from jacinthcart.program import Clock
from jacinthcart.telemetry import Logger, Metrics


#: Bytes of the objects of a connection without a request.
_CONNECTION_BYTES = 20 * 1024


@dataclasses.dataclass(frozen=True)
class CallerMemoryParameters:
    """The limits and who gives way before they are reached."""

    #: Bytes of the requests and answers of all connections together.
    limit_bytes: int
    #: Bytes of the connections themselves above which those without a request
    #: are closed.
    connections_bytes: int
    #: Fraction of the limit above which no request is read. The rest is for
    #: the answers to the requests that were read.
    admission_fraction: float = 0.75
    #: Seconds without progress after which a caller that does not read its
    #: answer gives way to requests that are not read yet.
    stall_s: float = 2.0


class BaseAccountHolder(abc.ABC):
    """A connection that can give way."""

    @abc.abstractmethod
    def refuse_incoming(self) -> None:
        """Drop the request in progress and refuse it as not run."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once."""


class _ClosedHolder(BaseAccountHolder):
    """Stands for a connection that is closed."""

    def refuse_incoming(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


class ConnectionAccount:
    """The bytes that one connection holds for its caller."""

    def __init__(
        self, memory: 'CallerMemory', holder: BaseAccountHolder
    ) -> None:
        """Create an empty account; CallerMemory.open does this."""
        #: Bytes that are not part of a complete request yet.
        self.incoming_bytes = 0
        #: Bytes of the complete requests that are not answered yet.
        self.complete_bytes = 0
        #: Bytes of the answer that is being written.
        self.answer_bytes = 0
        #: Clock time in seconds at which the caller last took a part of it.
        self.progress_at = 0.0
        self.holder: BaseAccountHolder = holder
        self._memory = memory

    def receive(self, received_bytes: int) -> None:
        """Add bytes to what is incoming, which may have to give way."""
        self.incoming_bytes += received_bytes
        self._memory.record_incoming(self, received_bytes)

    def complete_incoming(self) -> None:
        """Count the incoming request as complete; it is answered."""
        self.complete_bytes += self.incoming_bytes
        self.incoming_bytes = 0
        # The sum does not change, and nothing gives way.
        self._memory.record_incoming(self, 0)

    def drop_incoming(self) -> None:
        """Release the incoming request."""
        dropped_bytes = self.incoming_bytes
        self.incoming_bytes = 0
        self._memory.record_incoming(self, -dropped_bytes)

    def release_complete(self, released_bytes: int) -> None:
        """Release a request that has been answered."""
        self.complete_bytes -= released_bytes
        self._memory.held_bytes -= released_bytes
        if not self.complete_bytes and not self.incoming_bytes:
            self._memory.record_idle(self)

    def start_answer(self, answer_bytes: int) -> None:
        """Add an answer, for which other connections may have to give way."""
        self.answer_bytes = answer_bytes
        self._memory.record_answer(self, answer_bytes)

    def record_progress(self) -> None:
        """Record that the caller has taken a part of its answer."""
        # An answer that gave way is no longer held.
        if self.answer_bytes:
            self._memory.record_answer(self, 0)

    def release_answer(self) -> None:
        """Release the answer; it is written or has given way."""
        released_bytes = self.answer_bytes
        self.answer_bytes = 0
        self._memory.record_answer(self, -released_bytes)

    def close(self) -> None:
        """Release everything."""
        self.drop_incoming()
        self.release_answer()
        self.release_complete(self.complete_bytes)
        self._memory.remove(self)
        # The connection refers to its account, too. Without this, it would be
        # kept until the cyclic collector runs.
        self.holder = _ClosedHolder()


class CallerMemory:
    """Bounds the bytes that all connections hold for their callers.

    Above the admission level, what costs callers least gives way: answers
    whose callers have not read for a while, then incomplete requests, the
    largest first, as none of them has run. Complete requests are kept: they
    are answered. At the limit, the answer that waits longest gives way.
    Of too many connections, those without a request are closed, the one that
    was used least recently first.
    """

    def __init__(
        self,
        params: CallerMemoryParameters,
        clock: Clock,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Create the limit; nothing is held."""
        self.held_bytes = 0
        self._params = params
        self._admission_bytes = int(
            params.limit_bytes * params.admission_fraction
        )
        self._clock = clock
        self._metrics = metrics
        self._logger = logger
        self._receiving: set[ConnectionAccount] = set()
        #: The accounts with an answer, that without progress for longest
        #: first.
        self._answering: dict[ConnectionAccount, None] = {}
        #: The accounts without a request, that least recently used first.
        self._idle: dict[ConnectionAccount, None] = {}
        self._connections = 0

    def open(self, holder: BaseAccountHolder) -> ConnectionAccount:
        """Return the account of a connection; others may be closed."""
        account = ConnectionAccount(self, holder)
        self._connections += 1
        max_connections = self._params.connections_bytes // _CONNECTION_BYTES
        if self._connections > max_connections and self._idle:
            longest = next(iter(self._idle))
            self._idle.pop(longest)
            self._report('idle')
            longest.holder.abort()
        self._idle[account] = None
        return account

    def remove(self, account: ConnectionAccount) -> None:
        """Remove the account of a closed connection."""
        self._connections -= 1
        self._idle.pop(account, None)

    def record_idle(self, account: ConnectionAccount) -> None:
        """Record that a connection has no request."""
        self._idle[account] = None

    def record_incoming(
        self, account: ConnectionAccount, change_bytes: int
    ) -> None:
        """Record a change of an incoming request and make room."""
        self.held_bytes += change_bytes
        if not account.incoming_bytes:
            self._receiving.discard(account)
            return
        self._receiving.add(account)
        self._idle.pop(account, None)
        self._make_room()

    def record_answer(
        self, account: ConnectionAccount, change_bytes: int
    ) -> None:
        """Record a change or the progress of an answer and make room."""
        self.held_bytes += change_bytes
        self._answering.pop(account, None)
        if not account.answer_bytes:
            return
        self._idle.pop(account, None)
        account.progress_at = self._clock()
        self._answering[account] = None
        self._make_room()

    def _make_room(self) -> None:
        while self.held_bytes > self._admission_bytes:
            if not self._end_least():
                break
        while self.held_bytes > self._params.limit_bytes and self._answering:
            self._abandon(next(iter(self._answering)))

    def _end_least(self) -> bool:
        """End what costs callers least; return False if there is nothing."""
        longest = next(iter(self._answering), None)
        if longest is not None:
            unread_s = self._clock() - longest.progress_at
            if unread_s >= self._params.stall_s:
                self._abandon(longest)
                return True
        if not self._receiving:
            return False
        self._refuse(max(self._receiving, key=_get_incoming_bytes))
        return True

    def _refuse(self, account: ConnectionAccount) -> None:
        self._report('refused')
        account.drop_incoming()
        account.holder.refuse_incoming()

    def _abandon(self, account: ConnectionAccount) -> None:
        self._report('closed')
        account.release_answer()
        account.holder.abort()

    def _report(self, action: str) -> None:
        self._metrics.count('caller_memory', action)
        self._logger.warning(
            'memory for callers is full',
            limit_key=f'caller_memory_{action}',
            action=action,
            held_bytes=self.held_bytes,
            limit_bytes=self._params.limit_bytes,
            connections=self._connections,
            receiving=len(self._receiving),
            answering=len(self._answering),
        )


def _get_incoming_bytes(account: ConnectionAccount) -> int:
    return account.incoming_bytes
