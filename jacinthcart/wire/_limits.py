"""Limits that all client connections of a process share."""

from anyio.lowlevel import RunVar

from jacinthcart.streams import ProcessingBudget

#: Bytes of all bodies that are being received, unless a process states
#: another maximum.
_MAX_HELD_BYTES = 64 * 1024 * 1024


class HeldBody:
    """The body of one response while it arrives, and its account."""

    def __init__(self, memory: 'BodyMemory') -> None:
        """Create an empty body; BodyMemory.open does this."""
        self.content = bytearray()
        #: Whether the body gave way to others. Nothing may be added then.
        self.is_discarded = False
        self._memory = memory

    def append(self, piece: bytes | bytearray) -> None:
        """Add bytes, for which the largest body may have to give way."""
        self.content += piece
        self._memory.record(self, len(piece))

    def discard(self) -> None:
        """Give way to other bodies."""
        self.is_discarded = True
        self.release()

    def release(self) -> None:
        """Free the bytes."""
        self._memory.record(self, -len(self.content))
        # Errors and their tracebacks may keep this object.
        self.content = bytearray()


class BodyMemory:
    """Bounds the bytes of all bodies that are being received together.

    Servers in trouble may send without end on many connections. Above the
    limit the largest body is discarded, so that small ones still arrive.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create the limit; nothing is held."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._holding: set[HeldBody] = set()

    def open(self) -> HeldBody:
        """Return an empty body, which must be released."""
        return HeldBody(self)

    def record(self, body: HeldBody, change_bytes: int) -> None:
        """Record a change of a body and apply the limit."""
        self.held_bytes += change_bytes
        if change_bytes <= 0:
            self._holding.discard(body)
            return
        self._holding.add(body)
        while self.held_bytes > self.limit_bytes:
            max(self._holding, key=_get_size).discard()


class ClientLimits:
    """Limits of all responses that client connections receive."""

    def __init__(self) -> None:
        """Create limits of which nothing is used."""
        self.memory = BodyMemory(_MAX_HELD_BYTES)
        self.processing = ProcessingBudget()


#: Those of the current event loop, as its tasks wait for them.
_limits = RunVar[ClientLimits]('client_limits')


def get_client_limits() -> ClientLimits:
    """Return the limits of all client connections of this event loop."""
    limits = _limits.get(None)
    if limits is None:
        limits = ClientLimits()
        _limits.set(limits)
    return limits


def set_max_held_bytes(max_held_bytes: int) -> None:
    """State how many bytes all bodies being received may hold together."""
    get_client_limits().memory.limit_bytes = max_held_bytes


def _get_size(body: HeldBody) -> int:
    return len(body.content)
