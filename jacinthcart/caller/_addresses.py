"""Time-limited cache of VM addresses and the request id prefix."""

from collections.abc import Iterable, Sequence

import anyio

from jacinthcart.caller._answers import Address, AddressList
from jacinthcart.caller._client import EntryClient
from jacinthcart.caller._errors import UnreachableError
from jacinthcart.program import Clock

_MS_PER_S = 1000
#: Fraction of its lifetime after which a list is refreshed, so that a failed
#: refresh can be retried before the list expires.
_REFRESH_FRACTION = 0.5
#: Fraction of the remaining lifetime to wait after a failed refresh.
_RETRY_FRACTION = 0.125


class AddressCache:
    """Fetches addresses and drops them when their lifetime has passed.

    The lifetime starts at the time when the request for them was sent.
    """

    def __init__(
        self,
        client: EntryClient,
        seeds: Sequence[Address],
        workspace: str | None,
        clock: Clock,
    ) -> None:
        """Create an empty cache; it is filled by requests to `seeds`."""
        self._client = client
        self._seeds = tuple(seeds)
        self._workspace = workspace
        self._clock = clock
        self._addresses: list[Address] = []
        self._prefix: str | None = None
        self._refresh_at = 0.0
        self._expires_at = 0.0
        self._lock = anyio.Lock()

    async def list_addresses(self) -> list[Address]:
        """Return usable VMs, preferred first; raise UnreachableError."""
        async with self._lock:
            self._drop_expired()
            if self._clock() >= self._refresh_at or not self._addresses:
                await self._refresh(needs_prefix=False)
            return list(self._addresses)

    async def get_request_id_prefix(self) -> str:
        """Return the prefix of new request ids; raise UnreachableError."""
        async with self._lock:
            self._drop_expired()
            if self._prefix is None:
                await self._refresh(needs_prefix=True)
            if self._prefix is None:
                raise UnreachableError('no VM returned a request id prefix')
            return self._prefix

    def demote(self, address: Address) -> None:
        """Move a failed address to the end of the list."""
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.append(address)

    def add(self, addresses: Iterable[Address]) -> None:
        """Add addresses, which expire together with the current list."""
        self._addresses.extend(
            address for address in addresses if address not in self._addresses
        )

    def _drop_expired(self) -> None:
        if self._clock() >= self._expires_at:
            self._addresses = []
            self._prefix = None

    async def _refresh(self, *, needs_prefix: bool) -> None:
        """Query cached addresses and seeds in turn until one answers."""
        candidates = dict.fromkeys((*self._addresses, *self._seeds))
        for candidate in candidates:
            requested_at = self._clock()
            try:
                received = await self._client.fetch_addresses(
                    candidate,
                    self._workspace,
                )
            except UnreachableError:
                continue
            self._store(received, requested_at)
            if self._addresses and (self._prefix or not needs_prefix):
                return
        self._drop_expired()
        if not self._addresses:
            raise UnreachableError('no VM answered the address request')
        self._refresh_at = self._clock() + self._compute_retry_delay_s()

    def _compute_retry_delay_s(self) -> float:
        return (self._expires_at - self._clock()) * _RETRY_FRACTION

    def _store(self, received: AddressList, requested_at: float) -> None:
        if not received.addresses:
            return
        lifetime_s = received.keep_for_ms / _MS_PER_S
        self._addresses = list(received.addresses)
        self._prefix = received.request_id_prefix
        self._refresh_at = requested_at + lifetime_s * _REFRESH_FRACTION
        self._expires_at = requested_at + lifetime_s
