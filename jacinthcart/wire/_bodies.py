"""Bounded reading of bodies that another library receives in pieces."""

import contextlib
import math
from collections.abc import AsyncGenerator, AsyncIterator

from jacinthcart.errors import BodyMemoryError, BodyTooLargeError
from jacinthcart.wire._limits import BodyMemory, HeldBody

#: Digits of a stated length. Python refuses to convert several thousands.
_MAX_LENGTH_DIGITS = 20


class BodyReader:
    """Reads bodies, each and all of which have a maximum size.

    Peers in trouble may send without end, on many connections at once.
    """

    def __init__(self, max_body_bytes: int, max_held_bytes: int) -> None:
        """Initialise with the maximum of one body and of all together."""
        self._max_body_bytes = max_body_bytes
        self._memory = BodyMemory(max_held_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes of all bodies that are being read."""
        return self._memory.held_bytes

    async def read(
        self,
        pieces: AsyncIterator[bytes],
        stated_length: str | None = None,
    ) -> bytes:
        """Return the whole body, whose header may state a length.

        Raise BodyTooLargeError if it is larger than allowed, and
        BodyMemoryError if it gives way to other bodies.
        """
        if _parse_length(stated_length) > self._max_body_bytes:
            raise self._create_size_error()
        held = self._memory.open()
        try:
            async with _closing(pieces):
                async for piece in pieces:
                    self._add(held, piece)
            return bytes(held.content)
        finally:
            held.release()

    def _add(self, held: HeldBody, piece: bytes) -> None:
        if len(held.content) + len(piece) > self._max_body_bytes:
            raise self._create_size_error()
        if not held.is_discarded:
            held.append(piece)
        if held.is_discarded:
            raise BodyMemoryError('the body gave way to others')

    def _create_size_error(self) -> BodyTooLargeError:
        return BodyTooLargeError(
            f'the body is larger than {self._max_body_bytes} bytes'
        )


def _parse_length(stated_length: str | None) -> float:
    """Return the length; infinity if it has too many digits for a number."""
    if stated_length is None or not stated_length.isdecimal():
        return 0
    if len(stated_length) > _MAX_LENGTH_DIGITS:
        return math.inf
    return int(stated_length)


@contextlib.asynccontextmanager
async def _closing(pieces: AsyncIterator[bytes]) -> AsyncGenerator[None]:
    """Close the generator of a body that is not read to its end."""
    try:
        yield
    finally:
        if isinstance(pieces, AsyncGenerator):
            await pieces.aclose()
