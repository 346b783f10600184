"""Writers of the emulated store, which may come back from an older copy.

After a return, the operator and each searcher write their current state again,
each after a delay of its own.
"""

import dataclasses
import math
import random
import time
from collections.abc import Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.network import Endpoint
from jacinthcart_emulator.platform_store import StoreEmulator, StoreServer

#: Prefix of the keys that the operator writes.
_OPERATOR_PREFIX = 'op/'
#: Maximum delay in seconds until a writer writes again after the store has
#: come back (platform contract).
_MAX_REWRITE_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True)
class WriteRecord:
    """A write that the store acknowledged."""

    key: str
    #: JSON value; None if the key was removed.
    message: dict[str, Any] | None
    #: Revision after the write.
    revision: int
    #: Time of the acknowledgement, in seconds on the monotonic clock.
    at: float


@dataclasses.dataclass(frozen=True)
class ReturnRecord:
    """A return of the store from an older copy."""

    #: Revision of the copy. Writes of higher revisions are lost.
    revision: int
    #: Time at which the store went away, in seconds on the monotonic clock.
    away_at: float
    #: Time at which it was back.
    back_at: float


class StoreWriters:
    """Writes for the operator and the searchers and records each write."""

    def __init__(
        self, store: StoreEmulator, random_source: random.Random
    ) -> None:
        """Create writers of `store`; `start` serves it."""
        self.writes: list[WriteRecord] = []
        self.returns: list[ReturnRecord] = []
        #: Number of keys that are still to be written again after a return.
        self.pending_count = 0
        self._store = store
        self._random = random_source
        self._server: StoreServer | None = None
        #: What each key is to hold; None if it is to be removed.
        self._message_by_key: dict[str, dict[str, Any] | None] = {}
        self._sequence = 0

    async def start(self, endpoint: Endpoint, tasks: TaskGroup) -> None:
        """Serve the store at `endpoint`."""
        self._server = StoreServer(self._store, endpoint)
        await self._server.start(tasks)

    def take_sequence(self) -> int:
        """Return the next `sequence` of an advertisement."""
        self._sequence += 1
        return self._sequence

    def write(self, key: str, message: dict[str, Any] | None) -> None:
        """Write a message, or remove the key if it is None.

        While the store is away, nothing is written before its return.
        """
        self._message_by_key[key] = message
        if self._store.is_away:
            return
        if message is None:
            self._store.remove(key)
        else:
            self._store.put(key, message)
        self.writes.append(
            WriteRecord(key, message, self._store.revision, time.monotonic())
        )

    def repeat(self, key: str) -> None:
        """Write again what a key holds, unless its writer has ended."""
        if key not in self._message_by_key:
            return
        message = self._message_by_key[key]
        if message is not None and 'sequence' in message:
            message = {**message, 'sequence': self.take_sequence()}
        self.write(key, message)

    def forget(self, key: str) -> None:
        """Write a key no more, because its writer has ended."""
        self._message_by_key.pop(key, None)

    async def play_return(
        self,
        copy_age_s: float,
        away_s: float,
        tasks: TaskGroup,
        *,
        keeps_history: bool = True,
    ) -> None:
        """Let the store be away and come back from a copy of earlier.

        The copy is of the state `copy_age_s` seconds before the store goes
        away. Writers write again in `tasks`. Nothing happens if the store is
        away already.
        """
        if self._store.is_away:
            return
        assert self._server is not None
        copy = self._store.copies.find(copy_age_s)
        away_at = time.monotonic()
        await self._server.go_away()
        await anyio.sleep(away_s)
        self._store.return_from(copy)
        if not keeps_history:
            self._store.discard_history()
        await self._server.come_back()
        self.returns.append(
            ReturnRecord(copy.revision, away_at, time.monotonic())
        )
        operator_delay_s = self._random.uniform(0, _MAX_REWRITE_DELAY_S)
        for key in self._message_by_key:
            is_operator = key.startswith(_OPERATOR_PREFIX)
            searcher_delay_s = self._random.uniform(0, _MAX_REWRITE_DELAY_S)
            delay_s = operator_delay_s if is_operator else searcher_delay_s
            self.pending_count += 1
            tasks.start_soon(self._write_again, key, delay_s)

    async def _write_again(self, key: str, delay_s: float) -> None:
        era = self._store.era
        await anyio.sleep(delay_s)
        self.pending_count -= 1
        if self._store.is_away or era != self._store.era:
            # After a further return, everything is written again.
            return
        self.repeat(key)


def compute_loss_at(
    write: WriteRecord, returns: Sequence[ReturnRecord]
) -> float:
    """Return when the store lost a write, or infinity."""
    return min(
        (
            one.away_at
            for one in returns
            if write.at < one.away_at and write.revision > one.revision
        ),
        default=math.inf,
    )
