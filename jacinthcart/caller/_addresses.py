"""The addresses that a caller keeps for a while."""

from collections.abc import Iterable, Sequence

import anyio

from jacinthcart.caller._answers import Address, AddressList
from jacinthcart.caller._client import EntryClient
from jacinthcart.caller._errors import UnreachableError
from jacinthcart.program import Clock

_MS_PER_S = 1000
#: Share of its lifetime after which a list is renewed, so that a renewal
#: that fails can be repeated before the list has to be dropped.
_RENEWAL_SHARE = 0.5
_RETRY_SHARE = 0.125


class AddressKeeper:
    """Asks the system for addresses and drops them in time.

    The lifetime is counted from the moment the question was sent.
    """

    def __init__(
        self,
        client: EntryClient,
        seeds: Sequence[Address],
        workspace: str | None,
        clock: Clock,
    ) -> None:
        """Start with no list; `seeds` are asked when there is none."""
        self._client = client
        self._seeds = tuple(seeds)
        self._workspace = workspace
        self._clock = clock
        self._kept: list[Address] = []
        self._prefix: str | None = None
        self._renew_at = 0.0
        self._drop_at = 0.0
        self._lock = anyio.Lock()

    async def list_addresses(self) -> list[Address]:
        """Return usable VMs, preferred first; raise UnreachableError."""
        async with self._lock:
            self._drop_old()
            if self._clock() >= self._renew_at or not self._kept:
                await self._renew(needs_prefix=False)
            return list(self._kept)

    async def find_prefix(self) -> str:
        """Return the start of a new request id; raise UnreachableError."""
        async with self._lock:
            self._drop_old()
            if self._prefix is None:
                await self._renew(needs_prefix=True)
            if self._prefix is None:
                raise UnreachableError('no VM gave a request id prefix')
            return self._prefix

    def demote(self, address: Address) -> None:
        """Put an address that failed behind the others."""
        if address in self._kept:
            self._kept.remove(address)
            self._kept.append(address)

    def add(self, addresses: Iterable[Address]) -> None:
        """Keep further addresses for as long as the present list."""
        self._kept.extend(
            address for address in addresses if address not in self._kept
        )

    def _drop_old(self) -> None:
        if self._clock() >= self._drop_at:
            self._kept = []
            self._prefix = None

    async def _renew(self, *, needs_prefix: bool) -> None:
        """Ask kept VMs and seeds in turn until one answers."""
        candidates = dict.fromkeys((*self._kept, *self._seeds))
        for candidate in candidates:
            asked_at = self._clock()
            try:
                received = await self._client.ask_addresses(
                    candidate,
                    self._workspace,
                )
            except UnreachableError:
                continue
            self._keep(received, asked_at)
            if self._kept and (self._prefix or not needs_prefix):
                return
        self._drop_old()
        if not self._kept:
            raise UnreachableError('no VM answers')
        self._renew_at = self._clock() + self._retry_pause_s()

    def _retry_pause_s(self) -> float:
        return (self._drop_at - self._clock()) * _RETRY_SHARE

    def _keep(self, received: AddressList, asked_at: float) -> None:
        if not received.addresses:
            return
        lifetime_s = received.keep_for_ms / _MS_PER_S
        self._kept = list(received.addresses)
        self._prefix = received.request_id_prefix
        self._renew_at = asked_at + lifetime_s * _RENEWAL_SHARE
        self._drop_at = asked_at + lifetime_s
