"""The reference caller: finds VMs, sends requests, moves where safe."""

import random
from collections.abc import Sequence
from typing import Any

import anyio
import httpx

from jacinthcart.caller._addresses import AddressKeeper
from jacinthcart.caller._answers import Address, Answer
from jacinthcart.caller._client import CallerRequest, EntryClient
from jacinthcart.caller._errors import DeadlineError
from jacinthcart.caller._run import RequestRun
from jacinthcart.errors import Ran
from jacinthcart.program import Clock
from jacinthcart.settings import RouteKind

_MS_PER_S = 1000
_ID_BITS = 128


class Caller:
    """Sends requests of one key.

    A request is sent to another VM only where that is safe: after a
    refusal or a failed connection with `not_run`, and after `unknown` only
    when the request is idempotent. A non-idempotent request keeps its id
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
        """Keep the seeds; connections open on demand.

        `workspace`, `<team>/<name>`, improves the choice of VMs, and the
        system checks the key against it. `transport` replaces the network.
        """
        self._clock = clock
        self._random = random_source
        self._workspace = workspace
        self._client = EntryClient(key, clock, transport)
        self._addresses = AddressKeeper(
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
        """Ask all shards; `route` is `<team>/<name>`. Raise CallerError."""
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
        """Ask the shard of one id; raise CallerError."""
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

        To try again after an error, pass the error's `request_id`. Errors
        then say `unknown`, as an earlier attempt may have run.
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
            f'caller.{self._draw_digits()}',
            query,
            self._workspace,
            self._clock() + deadline_ms / _MS_PER_S,
        )
        return await self._run(kind, request, Ran.NOT_RUN)

    async def _create_submit_id(self, deadline: float) -> str:
        try:
            with anyio.fail_after(deadline - self._clock()):
                prefix = await self._addresses.find_prefix()
        except TimeoutError as error:
            raise DeadlineError('no request id before the deadline') from error
        return f'{prefix}.{self._draw_digits()}'

    async def _run(
        self,
        kind: RouteKind,
        request: CallerRequest,
        ran: Ran,
    ) -> Answer:
        run = RequestRun(
            self._client,
            self._addresses,
            self._clock,
            kind,
            request,
            ran,
        )
        return await run.run()

    def _draw_digits(self) -> str:
        return f'{self._random.getrandbits(_ID_BITS):032x}'
