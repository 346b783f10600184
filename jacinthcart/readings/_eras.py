"""Finds the era of the store's answers."""

import math

from jacinthcart.program import Clock
from jacinthcart.readings._position import Position
from jacinthcart.readings._source import StoreEraError

#: Seconds for which answers may contradict the known history before the store
#: counts as having come back from an older copy.
_CONTRADICTION_S = 1.0
#: Seconds between two contradictions after which they don't belong together.
#: Reads are at most 1.6 s apart, with back-off.
_CONTRADICTION_GAP_S = 5.0


class EraTracker:
    """Gives positions to the answers of the store.

    The era is the one that the store states. A store that states none has come
    back from an older copy if an answer has a lower revision than was known
    when the call was sent, because its answers are linearizable. A stated era
    that contradicts the known history is an error. If it persists, the stated
    numbers are wrong, and eras are counted on from the known one.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a contradiction."""
        self._clock = clock
        #: What to add to a stated era.
        self._offset = 0
        self._contradicted_since: float | None = None
        self._contradicted_at = -math.inf

    def convert(self, stated: int | None, default: int) -> int:
        """Return the era of a stated one, or `default` for None."""
        return default if stated is None else stated + self._offset

    def resolve(
        self, stated: int | None, revision: int, known: Position
    ) -> Position:
        """Return the position of an answer.

        `known` is the highest position that was known when the call was sent.

        Raise StoreEraError if the answer contradicts it.
        """
        if stated is None:
            is_fall = revision < known.revision
            return Position(known.era + int(is_fall), revision)
        position = Position(stated + self._offset, revision)
        if position < known:
            return self._accept_persistent(stated, revision, known)
        self._contradicted_since = None
        return position

    def _accept_persistent(
        self, stated: int, revision: int, known: Position
    ) -> Position:
        now = self._clock()
        is_first = now - self._contradicted_at > _CONTRADICTION_GAP_S
        self._contradicted_at = now
        if self._contradicted_since is None or is_first:
            self._contradicted_since = now
        if now - self._contradicted_since < _CONTRADICTION_S:
            raise StoreEraError(
                f'store stated era {stated} and revision {revision}; '
                f'{known} is known'
            )
        self._contradicted_since = None
        era = known.era + int(revision < known.revision)
        self._offset = era - stated
        return Position(era, revision)
