"""Writes the responses of one connection."""

import anyio
from anyio.abc import ByteStream

from jacinthcart.front._memory import ConnectionAccount
from jacinthcart.streams import STREAM_FAILURES

#: Bytes of an answer that are handed to the transport at once. It copies what
#: the caller does not take.
_SEND_BYTES = 32768
#: Seconds in which a caller must take such a part of its answer.
_SEND_TIMEOUT_S = 10.0
_CONNECTION_FAILURES = (*STREAM_FAILURES, anyio.EndOfStream)


class Writer:
    """Writes messages to the client of a connection."""

    def __init__(self, stream: ByteStream, account: ConnectionAccount) -> None:
        """Initialise with the stream and the account of the connection."""
        self._stream = stream
        self._account = account

    async def write(self, message: bytes) -> bool:
        """Return whether the client took the message in time."""
        size = len(message)
        # The part in progress is held twice more, here and by the transport.
        self._account.start_answer(size + 2 * min(size, _SEND_BYTES))
        try:
            for start in range(0, size, _SEND_BYTES):
                if start:
                    self._account.record_progress()
                is_taken = False
                with anyio.move_on_after(_SEND_TIMEOUT_S):
                    await self._stream.send(
                        message[start : start + _SEND_BYTES]
                    )
                    is_taken = True
                if not is_taken:
                    return False
        except _CONNECTION_FAILURES:
            return False
        finally:
            self._account.release_answer()
        return True
