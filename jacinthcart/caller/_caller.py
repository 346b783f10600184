"""Reference client with address discovery and safe failover."""

import random
from collections.abc import Sequence
from typing import Any

import anyio
import httpx

from jacinthcart.caller._addresses import AddressCache
from jacinthcart.caller._answers import Address, Answer
from jacinthcart.caller._client import CallerRequest, EntryClient
from jacinthcart.caller._errors import DeadlineError
from jacinthcart.caller._retry import RetryLoop
from jacinthcart.errors import Ran
from jacinthcart.program import Clock
from jacinthcart.settings import RouteKind

_MS_PER_S = 1000
_REQUEST_ID_BITS = 128


class Caller:
    """Sends requests with one key.

    A request fails over to another VM only if that is safe: after a
    refusal or connection failure with `not_run`, and after `unknown` only
    if the request is idempotent. A non-idempotent request has the same id
    in every attempt.
    """

    def __init__(
        self,
        seeds: Sequence[Address],
        key: str | None,
        clock: Clock,
        random_source: random.Random,
        *,
        workspace: str | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the client; connections open on demand.

        `workspace`, `<team>/<name>`, improves the selection of VMs, and
        requests are refused if the key belongs to another workspace.
        `transport` replaces the network.
        """
        self._clock = clock
        self._random = random_source
        self._workspace = workspace
        self._client = EntryClient(key, clock, transport)
        self._address_cache = AddressCache(
            self._client,
            seeds,
            workspace,
            clock,
        )

    async def search(
        self,
        route: str,
        query: dict[str, Any],
        deadline_ms: int,
    ) -> Answer:
        """Query all shards; `route` is `<team>/<name>`; raise CallerError."""
        return await self._run_idempotent(
            RouteKind.SEARCH,
            route,
            query,
            deadline_ms,
        )

    async def lookup(
        self,
        route: str,
        query: dict[str, Any],
        deadline_ms: int,
    ) -> Answer:
        """Query only the shard of the id in `query`; raise CallerError."""
        return await self._run_idempotent(
            RouteKind.LOOKUP,
            route,
            query,
            deadline_ms,
        )

    async def submit(
        self,
        route: str,
        query: dict[str, Any],
        deadline_ms: int,
        request_id: str | None = None,
    ) -> Answer:
        """Run a non-idempotent request at most once; raise CallerError.

        To retry after an error, pass the error's `request_id`. Errors then
        report `unknown`, as an earlier attempt may have run.
        """
        ran = Ran.UNKNOWN if request_id else Ran.NOT_RUN
        deadline = self._clock() + deadline_ms / _MS_PER_S
        if request_id is None:
            request_id = await self._create_submit_id(deadline)
        return await self._run(
            RouteKind.SUBMIT,
            CallerRequest(
                route,
                request_id,
                query,
                self._workspace,
                deadline,
            ),
            ran,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _run_idempotent(
        self,
        kind: RouteKind,
        route: str,
        query: dict[str, Any],
        deadline_ms: int,
    ) -> Answer:
        request = CallerRequest(
            route,
            f'caller.{self._generate_suffix()}',
            query,
            self._workspace,
            self._clock() + deadline_ms / _MS_PER_S,
        )
        return await self._run(kind, request, Ran.NOT_RUN)

    async def _create_submit_id(self, deadline: float) -> str:
        try:
            with anyio.fail_after(deadline - self._clock()):
                prefix = await self._address_cache.get_request_id_prefix()
        except TimeoutError as error:
            raise DeadlineError('no request id before the deadline') from error
        return f'{prefix}.{self._generate_suffix()}'

    async def _run(
        self,
        kind: RouteKind,
        request: CallerRequest,
        ran: Ran,
    ) -> Answer:
        retry_loop = RetryLoop(
            self._client,
            self._address_cache,
            self._clock,
            kind,
            request,
            ran,
        )
        return await retry_loop.run()

    def _generate_suffix(self) -> str:
        return f'{self._random.getrandbits(_REQUEST_ID_BITS):032x}'
