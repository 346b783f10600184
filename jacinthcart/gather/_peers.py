"""Calls to the gathers of other VMs, with backoff and latency tracking."""

import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from jacinthcart.errors import (
    InvalidMessageError,
    NotSentError,
    OutcomeUnknownError,
    RefusalError,
)
from jacinthcart.gather._messages import (
    RefusalMessage,
    SubqueryReply,
    parse_message,
)
from jacinthcart.program import Clock
from jacinthcart.settings import RosterEntry
from jacinthcart.wire import ConnectionPool, HttpResponse, encode_json

_REFUSAL_STATUS = 409
_CONNECTIONS_PER_PEER = 64
#: Weight of the newest latency in the exponential moving average.
_LATENCY_WEIGHT = 0.2
#: Backoff after the first failure; doubles with each further failure.
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0


class BasePeerPool(Protocol):
    """Connections to one server, as implemented by `ConnectionPool`."""

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float = 5,
    ) -> HttpResponse:
        """Send one request, as `ConnectionPool.call` does."""

    async def close(self) -> None:
        """Close idle connections."""


PoolFactory = Callable[[str, int], BasePeerPool]


def open_peer_pool(address: str, port: int) -> BasePeerPool:
    """Return the pool of connections to one peer."""
    return ConnectionPool(address, port, _CONNECTIONS_PER_PEER)


@dataclasses.dataclass
class _Peer:
    """State of the gather on another VM."""

    #: Address and port that it listens on.
    endpoint: tuple[str, int]
    #: Connections to it.
    pool: BasePeerPool
    #: Moving average of the response time in seconds; 0 before the first
    #: response.
    latency_s: float = 0.0
    #: Failed calls since the last response.
    failures: int = 0
    #: Time in seconds until which the peer is avoided after a failure.
    backoff_until: float = 0.0
    #: Calls waiting for a response.
    in_flight: int = 0


class PeerSet:
    """Calls other gathers, with one connection pool for each.

    A failed peer is avoided during a backoff that doubles with each
    failure. After that, one call at a time probes it until it responds.
    """

    def __init__(self, clock: Clock, open_pool: PoolFactory) -> None:
        """Start with no connections."""
        self._clock = clock
        self._open_pool = open_pool
        self._peers_by_vm: dict[str, _Peer] = {}

    def is_backing_off(self, vm_id: str) -> bool:
        """Return whether the peer failed and should be avoided now."""
        peer = self._peers_by_vm.get(vm_id)
        if peer is None or not peer.failures:
            return False
        return peer.in_flight > 0 or self._clock() < peer.backoff_until

    def get_latency_s(self, vm_id: str) -> float:
        """Return a peer's average response time in seconds; 0 if unknown."""
        peer = self._peers_by_vm.get(vm_id)
        return 0.0 if peer is None else peer.latency_s

    async def send_subquery(
        self,
        vm_id: str,
        entry: RosterEntry,
        message: dict[str, Any],
        timeout_s: float,
    ) -> SubqueryReply:
        """Send one subquery.

        Raise NotSentError or OutcomeUnknownError, the latter also when no
        valid response arrives in time. Raise RefusalError when the peer
        refuses.
        """
        peer = await self._get_or_create_peer(vm_id, entry)
        body = encode_json(message)
        started = self._clock()
        peer.in_flight += 1
        try:
            reply = await _call(peer.pool, body, timeout_s)
        except (NotSentError, OutcomeUnknownError):
            self._record_failure(peer)
            raise
        finally:
            peer.in_flight -= 1
        self._record_response(peer, self._clock() - started)
        return reply

    async def close(self) -> None:
        """Close the connections to all peers."""
        for peer in self._peers_by_vm.values():
            await peer.pool.close()

    def describe(self) -> dict[str, Any]:
        """Return failures, latency and calls in flight by VM."""
        return {
            vm_id: {
                'failures': peer.failures,
                'latency_ms': peer.latency_s * 1000,
                'in_flight': peer.in_flight,
            }
            for vm_id, peer in self._peers_by_vm.items()
        }

    async def _get_or_create_peer(
        self, vm_id: str, entry: RosterEntry
    ) -> _Peer:
        endpoint = (entry.address, entry.gather_port)
        peer = self._peers_by_vm.get(vm_id)
        if peer is not None and peer.endpoint == endpoint:
            return peer
        created = _Peer(endpoint, self._open_pool(*endpoint))
        self._peers_by_vm[vm_id] = created
        if peer is not None:
            await peer.pool.close()
        return created

    def _record_failure(self, peer: _Peer) -> None:
        backoff_s = _FIRST_BACKOFF_S * 2**peer.failures
        peer.failures += 1
        peer.backoff_until = self._clock() + min(backoff_s, _MAX_BACKOFF_S)

    def _record_response(self, peer: _Peer, seconds: float) -> None:
        peer.failures = 0
        if peer.latency_s:
            seconds = (
                _LATENCY_WEIGHT * seconds
                + (1 - _LATENCY_WEIGHT) * peer.latency_s
            )
        peer.latency_s = seconds


async def _call(
    pool: BasePeerPool,
    body: bytes,
    timeout_s: float,
) -> SubqueryReply:
    try:
        response = await pool.call('POST', '/v1/subqueries', body, timeout_s)
    except TimeoutError as error:
        raise OutcomeUnknownError('subquery: response timed out') from error
    try:
        return _read_response(response)
    except InvalidMessageError as error:
        raise OutcomeUnknownError(f'subquery: {error}') from error


def _read_response(response: HttpResponse) -> SubqueryReply:
    if response.is_success:
        return parse_message(SubqueryReply, response.body)
    if response.status != _REFUSAL_STATUS:
        raise OutcomeUnknownError(f'subquery: status {response.status}')
    refusal = parse_message(RefusalMessage, response.body).refusal
    raise RefusalError(
        refusal.code,
        refusal.ran,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )
