"""Bounded reading of request bodies."""

import contextlib
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from jacinthcart.errors import RefusalCode, RefusalError

#: A server that closes a connection with unread bytes resets it, and the
#: caller loses the refusal. So much of a refused body is read and dropped.
DISCARD_LIMIT_BYTES = 8 * 1024 * 1024
_DISCARD_LIMIT_S = 1

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


class RequestBody:
    """The body of one request, read at most once."""

    def __init__(self, receive: Receive) -> None:
        """Read nothing yet; `receive` is the ASGI channel."""
        self.is_ended = False
        self._receive = receive

    async def read(self, max_bytes: int, timeout_s: float) -> bytes:
        """Return the whole body.

        Raise RefusalError BODY_TOO_LARGE above `max_bytes`,
        DEADLINE_PASSED when it does not arrive within `timeout_s`.
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
        """Drop the rest of the body, within bounds of size and time.

        `is_ended` tells whether the end was reached.
        """
        dropped = 0
        with (
            anyio.move_on_after(_DISCARD_LIMIT_S),
            contextlib.suppress(RefusalError),
        ):
            while not self.is_ended and dropped < DISCARD_LIMIT_BYTES:
                dropped += len(await self._read_chunk())

    async def _read_bounded(self, max_bytes: int) -> bytes:
        body = bytearray()
        while not self.is_ended:
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
            self.is_ended = True
            raise RefusalError(
                RefusalCode.INVALID_REQUEST,
                detail='the caller disconnected',
            )
        self.is_ended = not message.get('more_body', False)
        return bytes(message.get('body', b''))
