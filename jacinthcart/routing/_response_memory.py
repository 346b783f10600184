"""Limit on the memory of all responses of searchers."""

import abc
import dataclasses
import weakref
from collections.abc import Callable

#: Classes of sizes: one for each number of bits that a size may have.
_SIZE_CLASSES = 64


class BaseHeldBody(abc.ABC):
    """The body of a response, which takes memory while it exists."""

    @abc.abstractmethod
    def compute_held_bytes(self) -> int:
        """Return the bytes of memory that the body takes."""


class ResponseHold:
    """Counts a response as held for as long as this object exists.

    Whatever owns the bytes of the response owns its hold. So they are counted
    until they are gone, also if something else still refers to them.
    """

    __slots__ = ('__weakref__', 'reference')

    def __init__(
        self, forget: Callable[[weakref.ref['ResponseHold']], None]
    ) -> None:
        """Create the hold; ResponseMemory.open does this."""
        #: Identifies the hold without keeping it.
        self.reference = weakref.ref(self, forget)


@dataclasses.dataclass(frozen=True)
class HeldBytes:
    """The bytes of memory that a response in progress takes."""

    #: Bytes of the response in this process.
    counted: int
    #: Bytes that the buffers of its connection may hold besides.
    buffered: int = 0
    #: Returns what these buffers hold now; None if that is unknown.
    count_buffered: Callable[[], int] | None = None


_Reference = weakref.ref[ResponseHold]
_Discard = weakref.WeakMethod[Callable[[], None]]
_Responses = dict[_Reference, _Discard]


class ResponseMemory:
    """Bounds the bytes that all responses of searchers hold together.

    Searchers in trouble may send without end on many connections. While all
    responses together exceed the limit, one of the largest in progress is
    discarded, so that small ones of other searchers still arrive. Before that,
    what the buffers of connections hold replaces what they may hold. Complete
    responses are counted until they are dropped, and are never discarded: if
    they leave no room, a response that arrives is.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create the limit; nothing is held."""
        self.held_bytes = 0
        #: Bodies of large responses that exist, whether held or not.
        self.bodies: weakref.WeakSet[BaseHeldBody] = weakref.WeakSet()
        self._limit_bytes = limit_bytes
        self._bytes_by_hold: dict[_Reference, int] = {}
        #: The responses in progress by number of bits of their size, so that
        #: no search among all of them is needed for each block received.
        self._discards: list[_Responses] = [{} for _ in range(_SIZE_CLASSES)]
        #: The responses whose buffers were not counted since their last block.
        self._estimates: dict[_Reference, HeldBytes] = {}

    @property
    def is_full(self) -> bool:
        """Return whether more than the limit is held."""
        return self.held_bytes > self._limit_bytes

    def open(self, discard: _Discard, held_bytes: int) -> ResponseHold:
        """Return the hold of a response in progress.

        `discard` must drop what holds the response, and its hold. The limit
        is not applied; as soon as the hold has its owner, that calls
        `make_room`.
        """
        hold = ResponseHold(self._forget)
        self._bytes_by_hold[hold.reference] = held_bytes
        self.held_bytes += held_bytes
        self._discards[held_bytes.bit_length()][hold.reference] = discard
        return hold

    def open_complete(self, held_bytes: int) -> ResponseHold:
        """Return the hold of a response that arrived as a whole.

        The limit is not applied, as with `open`.
        """
        hold = ResponseHold(self._forget)
        self._bytes_by_hold[hold.reference] = held_bytes
        self.held_bytes += held_bytes
        return hold

    def make_room(self) -> None:
        """Discard responses in progress while more than the limit is held.

        The caller keeps no other reference to a hold than the owner's.
        """
        while self.is_full:
            if not self._count_buffered() and not self._discard_largest():
                break

    def resize(self, reference: _Reference, held: HeldBytes) -> None:
        """Set the bytes that a response holds and apply the limit.

        This may discard any response in progress, also this one; see
        `make_room`.
        """
        if held.buffered and held.count_buffered is not None:
            self._estimates[reference] = held
        self._set(reference, held.counted + held.buffered)
        if self.is_full:
            self.make_room()

    def complete(self, reference: _Reference, held_bytes: int) -> None:
        """Set the bytes of a complete response, which is not discarded."""
        previous_bytes = self._bytes_by_hold[reference]
        self._bytes_by_hold[reference] = held_bytes
        self.held_bytes += held_bytes - previous_bytes
        self._discards[previous_bytes.bit_length()].pop(reference, None)
        self._estimates.pop(reference, None)

    def _set(self, reference: _Reference, held_bytes: int) -> None:
        previous_bytes = self._bytes_by_hold[reference]
        self._bytes_by_hold[reference] = held_bytes
        self.held_bytes += held_bytes - previous_bytes
        size_class = held_bytes.bit_length()
        previous_class = previous_bytes.bit_length()
        if size_class != previous_class:
            discard = self._discards[previous_class].pop(reference, None)
            if discard is not None:
                self._discards[size_class][reference] = discard

    def _count_buffered(self) -> bool:
        """Count the buffers of one response; return whether one was left."""
        if not self._estimates:
            return False
        reference = next(iter(self._estimates))
        held = self._estimates.pop(reference)
        assert held.count_buffered is not None
        buffered_bytes = min(held.buffered, held.count_buffered())
        self._set(reference, held.counted + buffered_bytes)
        return True

    def _discard_largest(self) -> bool:
        """Discard a response of the largest class; return whether one is."""
        for responses in reversed(self._discards):
            if responses:
                discard = responses.pop(next(iter(responses)))()
                if discard is not None:
                    discard()
                return True
        return False

    def _forget(self, reference: _Reference) -> None:
        held_bytes = self._bytes_by_hold.pop(reference)
        self._discards[held_bytes.bit_length()].pop(reference, None)
        self._estimates.pop(reference, None)
        self.held_bytes -= held_bytes
