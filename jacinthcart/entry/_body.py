"""Bounded reading of request bodies."""

import contextlib
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from jacinthcart.errors import RefusalCode, RefusalError

#: Maximum size of a refused body that is read and discarded. Closing a
#: connection with unread bytes resets it, and the caller would not receive
#: the refusal.
DISCARD_LIMIT_BYTES = 8 * 1024 * 1024
_DISCARD_LIMIT_S = 1

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


class RequestBody:
    """The body of one request, read at most once."""

    def __init__(self, receive: Receive) -> None:
        """Create the reader; `receive` is the ASGI receive callable."""
        self.is_exhausted = False
        self._receive = receive

    async def read(self, max_bytes: int, timeout_s: float) -> bytes:
        """Return the whole body.

        Raise RefusalError with BODY_TOO_LARGE if the body is larger than
        `max_bytes`, and with DEADLINE_PASSED if it does not arrive within
        `timeout_s`.
        """
        try:
            with anyio.fail_after(timeout_s):
                return await self._read_bounded(max_bytes)
        except TimeoutError as error:
            raise RefusalError(
                RefusalCode.DEADLINE_PASSED,
                detail='the body did not arrive before the deadline',
            ) from error

    async def discard(self) -> None:
        """Read and discard the rest of the body, up to a size and time limit.

        Afterwards `is_exhausted` tells whether the end was reached.
        """
        discarded_bytes = 0
        with (
            anyio.move_on_after(_DISCARD_LIMIT_S),
            contextlib.suppress(RefusalError),
        ):
            while (
                not self.is_exhausted and discarded_bytes < DISCARD_LIMIT_BYTES
            ):
                discarded_bytes += len(await self._read_chunk())

    async def _read_bounded(self, max_bytes: int) -> bytes:
        body = bytearray()
        while not self.is_exhausted:
            body += await self._read_chunk()
            if len(body) > max_bytes:
                raise RefusalError(
                    RefusalCode.BODY_TOO_LARGE,
                    detail=f'the route accepts {max_bytes} bytes',
                )
        return bytes(body)

    async def _read_chunk(self) -> bytes:
        message = await self._receive()
        if message['type'] == 'http.disconnect':
            self.is_exhausted = True
            raise RefusalError(
                RefusalCode.INVALID_REQUEST,
                detail='the caller disconnected',
            )
        self.is_exhausted = not message.get('more_body', False)
        return bytes(message.get('body', b''))
