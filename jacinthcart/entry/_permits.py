"""Permits that a request needs before it may be forwarded."""

import abc
import dataclasses
from typing import Any

from jacinthcart.errors import (
    InvalidMessageError,
    RefusalCode,
    RefusalError,
    WireError,
)
from jacinthcart.feed import CLOCK_RATE_MARGIN
from jacinthcart.program import Clock
from jacinthcart.wire import ConnectionPool, decode_json, encode_json

_CALL_TIMEOUT_S = 1
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Permit:
    """A token that has left its bucket."""

    #: Time in seconds on the feed's clock after which it is void.
    expires_at: float


class BasePermitSource(abc.ABC):
    """Gives permits within the fleet-wide rates of workspaces."""

    @abc.abstractmethod
    async def acquire(self, workspace_id: str) -> Permit:
        """Wait for one permit.

        Raise RefusalError with OVER_RATE when the workspace is over its
        rate, with NOT_READY when control gives no answer.
        """

    async def close(self) -> None:
        """Close connections; the default has none."""


class ControlPermitSource(BasePermitSource):
    """Asks the VM's control process for each permit."""

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        """Use `pool` to reach control and count lifetimes on `clock`."""
        self._pool = pool
        self._clock = clock

    async def acquire(self, workspace_id: str) -> Permit:
        """Ask control for one permit of the workspace."""
        sent_at = self._clock()
        message = await self._ask(workspace_id)
        try:
            return _read_grant(message, workspace_id, sent_at)
        except (LookupError, TypeError, ValueError) as error:
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='invalid permit message',
            ) from error

    async def close(self) -> None:
        """Close the connections to control."""
        await self._pool.close()

    async def _ask(self, workspace_id: str) -> Any:
        try:
            response = await self._pool.call(
                'POST',
                '/v1/permits',
                encode_json({'counts': {workspace_id: 1}}),
                timeout_s=_CALL_TIMEOUT_S,
            )
        except (WireError, TimeoutError) as error:
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='control does not answer',
            ) from error
        try:
            return decode_json(response.body)
        except InvalidMessageError as error:
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='invalid permit message',
            ) from error


def _read_grant(message: Any, workspace_id: str, sent_at: float) -> Permit:
    granted = dict(message['granted']).get(workspace_id, {'count': 0})
    if int(granted['count']) < 1:
        retry_after_ms = dict(message['retry_after_ms']).get(workspace_id)
        raise RefusalError(
            RefusalCode.OVER_RATE,
            detail='workspace is over its rate',
            retry_after_ms=retry_after_ms,
        )
    lifetime_s = float(granted['lifetime_ms']) / _MS_PER_S
    return Permit(sent_at + lifetime_s * CLOCK_RATE_MARGIN)
