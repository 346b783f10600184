"""Client for `POST /v1/permits`, used by the entry process."""

import collections
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio

from jacinthcart.errors import (
    InvalidMessageError,
    RefusalCode,
    RefusalError,
    WireError,
)
from jacinthcart.limits._account import Waiter, WorkspaceAccount
from jacinthcart.limits._messages import PermitsResponse, parse_message
from jacinthcart.limits._permits import Permit
from jacinthcart.program import CLOCK_RATE_MARGIN, Clock
from jacinthcart.telemetry import Metrics

#: Sends the body of `POST /v1/permits` and returns the response body.
PostPermits = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]

_MS_PER_S = 1000
#: Maximum attempts of a request whose permits expire before they are used.
_MAX_ATTEMPTS = 3


class PermitClient:
    """Acquires permits from control, with one call in flight at a time.

    The owning program runs `run` as a task. Each call is a batch for all
    waiting requests and prefetches permits for workspaces with steady
    demand.
    """

    def __init__(
        self,
        post: PostPermits,
        read_batch_ms: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a client that calls control through `post`.

        `read_batch_ms` returns the current value of the setting
        `permit_batch_ms`.
        """
        self._post = post
        self._read_batch_ms = read_batch_ms
        self._clock = clock
        self._metrics = metrics
        self._wanted = anyio.Event()
        self._accounts: collections.defaultdict[str, WorkspaceAccount] = (
            collections.defaultdict(lambda: WorkspaceAccount(clock, metrics))
        )

    async def acquire(self, workspace_id: str) -> Permit:
        """Return a permit that has not expired.

        Raise RefusalError with OVER_RATE and a retry delay if control has
        no permit, or with NOT_READY if the call to control fails or the
        permits of all attempts expired before they could be used.
        """
        account = self._accounts[workspace_id]
        account.count_request()
        for _ in range(_MAX_ATTEMPTS):
            permit = await self._take_or_wait(account)
            if permit.expires_at > self._clock():
                return permit
        raise RefusalError(
            RefusalCode.NOT_READY,
            detail='permits expired before use',
        )

    async def run(self) -> None:
        """Call control whenever permits are needed, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            counts = self._plan()
            while counts:
                await self._call(counts)
                counts = self._plan() if self._has_waiters() else {}

    async def _take_or_wait(self, account: WorkspaceAccount) -> Permit:
        permit = account.take()
        if permit is not None:
            if account.count_prefetch(self._batch_s):
                self._wanted.set()
            return permit
        waiter = Waiter()
        account.waiters.append(waiter)
        self._wanted.set()
        try:
            await waiter.decided.wait()
        finally:
            if waiter in account.waiters:
                account.waiters.remove(waiter)
        return waiter.read_permit()

    @property
    def _batch_s(self) -> float:
        return self._read_batch_ms() / _MS_PER_S

    def _has_waiters(self) -> bool:
        return any(account.waiters for account in self._accounts.values())

    def _plan(self) -> dict[str, int]:
        batch_s = self._batch_s
        wanted = {
            workspace_id: len(account.waiters) + account.count_prefetch(batch_s)
            for workspace_id, account in self._accounts.items()
        }
        return {key: count for key, count in wanted.items() if count > 0}

    async def _call(self, counts: dict[str, int]) -> None:
        waiting = {
            workspace_id: list(self._accounts[workspace_id].waiters)
            for workspace_id in counts
        }
        sent_at = self._clock()
        try:
            body = await self._post({'counts': counts})
            response = parse_message(PermitsResponse, body)
        except (WireError, TimeoutError, InvalidMessageError) as error:
            self._metrics.count('permit_calls_failed')
            self._refuse_unreachable(waiting, error)
            return
        for workspace_id in counts:
            is_short = workspace_id in response.retry_after_ms
            self._accounts[workspace_id].set_shortage(is_short)
        self._add_granted(response, sent_at)
        self._refuse_over_rate(response, waiting)

    def _add_granted(self, response: PermitsResponse, sent_at: float) -> None:
        for workspace_id, granted in response.granted.items():
            lifetime_s = granted.lifetime_ms / _MS_PER_S * CLOCK_RATE_MARGIN
            self._accounts[workspace_id].add(
                granted.count,
                sent_at + lifetime_s,
                lifetime_s,
            )

    def _refuse_over_rate(
        self,
        response: PermitsResponse,
        waiting: Mapping[str, list[Waiter]],
    ) -> None:
        for workspace_id in response.retry_after_ms:
            refusal = RefusalError(
                RefusalCode.OVER_RATE,
                retry_after_ms=response.retry_after_ms[workspace_id],
            )
            self._refuse(workspace_id, waiting.get(workspace_id, []), refusal)

    def _refuse_unreachable(
        self,
        waiting: Mapping[str, list[Waiter]],
        error: Exception,
    ) -> None:
        for workspace_id, waiters in waiting.items():
            refusal = RefusalError(
                RefusalCode.NOT_READY,
                detail=f'control does not answer: {error}',
            )
            self._refuse(workspace_id, waiters, refusal)

    def _refuse(
        self,
        workspace_id: str,
        waiters: list[Waiter],
        refusal: RefusalError,
    ) -> None:
        account = self._accounts[workspace_id]
        for waiter in waiters:
            if waiter in account.waiters:
                account.waiters.remove(waiter)
                waiter.refuse(refusal)
