"""Retry policy: selects the VM for each attempt and when to stop."""

import anyio

from jacinthcart.caller._addresses import AddressCache
from jacinthcart.caller._answers import Address, Answer
from jacinthcart.caller._client import CallerRequest, EntryClient
from jacinthcart.caller._errors import (
    CallerError,
    DeadlineError,
    RefusedError,
    UnreachableError,
)
from jacinthcart.errors import Ran, RefusalCode
from jacinthcart.program import Clock
from jacinthcart.settings import RouteKind

_MAX_ATTEMPTS = 8
_MS_PER_S = 1000
#: Refusals that every other VM would repeat.
_NON_RETRYABLE_CODES = frozenset(
    (
        RefusalCode.INVALID_REQUEST,
        RefusalCode.BODY_TOO_LARGE,
        RefusalCode.DEADLINE_PASSED,
        RefusalCode.UNKNOWN_ROUTE,
        RefusalCode.KEY_MISSING,
        RefusalCode.KEY_INVALID,
        RefusalCode.WORKSPACE_MISMATCH,
        RefusalCode.DUPLICATE,
        RefusalCode.EXPIRED_REQUEST_ID,
    ),
)


class RetryLoop:
    """Sends one request to successive VMs while a retry is safe."""

    def __init__(
        self,
        client: EntryClient,
        address_cache: AddressCache,
        clock: Clock,
        kind: RouteKind,
        request: CallerRequest,
        ran: Ran,
    ) -> None:
        """Store the request; `ran` is the run state of earlier attempts."""
        self._client = client
        self._address_cache = address_cache
        self._clock = clock
        self._kind = kind
        self._request = request
        self._ran = ran
        self._tried: set[Address] = set()
        self._last_error: CallerError | None = None

    async def run(self) -> Answer:
        """Return the answer; raise CallerError."""
        for _ in range(_MAX_ATTEMPTS):
            address = await self._select_address()
            try:
                return await self._client.send(address, self._request)
            except CallerError as error:
                await self._handle_failure(error, address)
        raise self._complete_error(
            UnreachableError('maximum number of attempts reached')
        )

    async def _select_address(self) -> Address:
        try:
            addresses = await self._list_addresses()
        except CallerError as error:
            raise self._complete_error(error) from None
        for address in addresses:
            if address not in self._tried:
                return address
        raise self._complete_error(
            UnreachableError('every known VM has been tried')
        )

    async def _list_addresses(self) -> list[Address]:
        remaining_s = self._request.deadline - self._clock()
        if remaining_s <= 0:
            raise DeadlineError('deadline passed before the next attempt')
        try:
            with anyio.fail_after(remaining_s):
                return await self._address_cache.list_addresses()
        except TimeoutError as error:
            raise DeadlineError(
                'no address received before the deadline'
            ) from error

    async def _handle_failure(
        self,
        error: CallerError,
        address: Address,
    ) -> None:
        """Prepare the next attempt, or raise if no retry is allowed."""
        if error.ran is Ran.UNKNOWN:
            self._ran = Ran.UNKNOWN
        self._last_error = error
        if not self._is_retryable(error):
            raise self._complete_error(error)
        self._tried.add(address)
        self._address_cache.demote(address)
        if isinstance(error, RefusedError):
            self._address_cache.add(error.try_addresses)
            await self._wait_retry_after(error)

    def _is_retryable(self, error: CallerError) -> bool:
        if isinstance(error, RefusedError):
            if error.code in _NON_RETRYABLE_CODES:
                return False
            if error.code is RefusalCode.OVER_RATE:
                # The rate limit is fleet-wide, so other VMs refuse too.
                return error.retry_after_ms is not None
        if error.ran is Ran.NOT_RUN:
            return True
        return self._kind is not RouteKind.SUBMIT

    async def _wait_retry_after(self, error: RefusedError) -> None:
        if error.retry_after_ms is None:
            return
        wait_s = error.retry_after_ms / _MS_PER_S
        if self._clock() + wait_s >= self._request.deadline:
            raise self._complete_error(error)
        await anyio.sleep(wait_s)
        self._tried.clear()

    def _complete_error(self, error: CallerError) -> CallerError:
        """Return the error to raise, with the run state of all attempts.

        The error of the last attempt is preferred, as it gives the cause of
        the failure; `error` may only say why there is no further attempt.
        """
        final = self._last_error or error
        final.ran = self._ran
        final.request_id = self._request.request_id
        return final
