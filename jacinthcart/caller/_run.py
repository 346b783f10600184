"""The attempts of one request: where to send it, and when to stop."""

import anyio

from jacinthcart.caller._addresses import AddressKeeper
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
#: Another VM gives the same answer to these.
_FINAL_CODES = frozenset(
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


class RequestRun:
    """Sends one request to one VM after another while that is safe."""

    def __init__(
        self,
        client: EntryClient,
        addresses: AddressKeeper,
        clock: Clock,
        kind: RouteKind,
        request: CallerRequest,
        ran: Ran,
    ) -> None:
        """Keep the request; `ran` speaks of attempts before this run."""
        self._client = client
        self._addresses = addresses
        self._clock = clock
        self._kind = kind
        self._request = request
        self._ran = ran
        self._tried: set[Address] = set()
        self._last_error: CallerError | None = None

    async def run(self) -> Answer:
        """Return the answer; raise CallerError."""
        for _ in range(_MAX_ATTEMPTS):
            address = await self._choose()
            try:
                return await self._client.send(address, self._request)
            except CallerError as error:
                await self._take_failure(error, address)
        raise self._finish(UnreachableError('no attempt left'))

    async def _choose(self) -> Address:
        try:
            addresses = await self._list_addresses()
        except CallerError as error:
            raise self._finish(error) from None
        for address in addresses:
            if address not in self._tried:
                return address
        raise self._finish(UnreachableError('no VM is left to try'))

    async def _list_addresses(self) -> list[Address]:
        remaining_s = self._request.deadline - self._clock()
        if remaining_s <= 0:
            raise DeadlineError('deadline passed')
        try:
            with anyio.fail_after(remaining_s):
                return await self._addresses.list_addresses()
        except TimeoutError as error:
            raise DeadlineError('no address before the deadline') from error

    async def _take_failure(
        self,
        error: CallerError,
        address: Address,
    ) -> None:
        """Prepare the next attempt, or raise when none is allowed."""
        if error.ran is Ran.UNKNOWN:
            self._ran = Ran.UNKNOWN
        self._last_error = error
        if not self._may_try_again(error):
            raise self._finish(error)
        self._tried.add(address)
        self._addresses.demote(address)
        if isinstance(error, RefusedError):
            self._addresses.add(error.try_addresses)
            await self._wait_as_told(error)

    def _may_try_again(self, error: CallerError) -> bool:
        if isinstance(error, RefusedError):
            if error.code in _FINAL_CODES:
                return False
            if error.code is RefusalCode.OVER_RATE:
                # The rate is fleet-wide: other VMs refuse as well.
                return error.retry_after_ms is not None
        if error.ran is Ran.NOT_RUN:
            return True
        return self._kind is not RouteKind.SUBMIT

    async def _wait_as_told(self, error: RefusedError) -> None:
        if error.retry_after_ms is None:
            return
        wait_s = error.retry_after_ms / _MS_PER_S
        if self._clock() + wait_s >= self._request.deadline:
            raise self._finish(error)
        await anyio.sleep(wait_s)
        self._tried.clear()

    def _finish(self, error: CallerError) -> CallerError:
        """Return the error to raise, with what is known of all attempts.

        The last attempt's error tells more than having no further one.
        """
        final = self._last_error or error
        final.ran = self._ran
        final.request_id = self._request.request_id
        return final
