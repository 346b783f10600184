"""Calls to the gathers of other VMs and what was observed of them."""

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
_LATENCY_WEIGHT = 0.2
#: First time without calls after a failure; doubles with each further one.
_AVOID_SECONDS = 0.1
_AVOID_LIMIT_SECONDS = 5.0


class BasePeerPool(Protocol):
    """Connections to one server; `ConnectionPool` is the real one."""

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
    """One VM's gather."""

    #: Where it listens.
    endpoint: tuple[str, int]
    #: Connections to it.
    pool: BasePeerPool
    #: Smoothed seconds of its answers; 0 until one came.
    latency_s: float = 0.0
    #: Calls without answer since the last answer.
    failures: int = 0
    #: Time until which no call is made, after a failure.
    avoid_until: float = 0.0
    #: Calls waiting for an answer.
    in_flight: int = 0


class PeerSet:
    """Asks other gathers, one pool of connections for each.

    A peer that failed is avoided for a while that doubles with each
    failure; then one call at a time tests it until it answers.
    """

    def __init__(self, clock: Clock, open_pool: PoolFactory) -> None:
        """Start with no connections."""
        self._clock = clock
        self._open_pool = open_pool
        self._peers_by_vm: dict[str, _Peer] = {}

    def is_avoided(self, vm_id: str) -> bool:
        """Return whether the peer failed and should get no call now."""
        peer = self._peers_by_vm.get(vm_id)
        if peer is None or not peer.failures:
            return False
        return peer.in_flight > 0 or self._clock() < peer.avoid_until

    def find_latency(self, vm_id: str) -> float:
        """Return the smoothed seconds of a peer's answers, 0 if unknown."""
        peer = self._peers_by_vm.get(vm_id)
        return 0.0 if peer is None else peer.latency_s

    async def ask(
        self,
        vm_id: str,
        entry: RosterEntry,
        message: dict[str, Any],
        timeout_s: float,
    ) -> SubqueryReply:
        """Send one subquery.

        Raise NotSentError or OutcomeUnknownError, the latter also when no
        valid answer came in time, and RefusalError as the peer refuses.
        """
        peer = await self._find_peer(vm_id, entry)
        body = encode_json(message)
        started = self._clock()
        peer.in_flight += 1
        try:
            reply = await _call(peer.pool, body, timeout_s)
        except (NotSentError, OutcomeUnknownError):
            self._note_failure(peer)
            raise
        finally:
            peer.in_flight -= 1
        self._note_answer(peer, self._clock() - started)
        return reply

    async def close(self) -> None:
        """Close the connections to all peers."""
        for peer in self._peers_by_vm.values():
            await peer.pool.close()

    def describe(self) -> dict[str, Any]:
        """Return failures and latency by VM for the report."""
        return {
            vm_id: {
                'failures': peer.failures,
                'latency_ms': peer.latency_s * 1000,
                'in_flight': peer.in_flight,
            }
            for vm_id, peer in self._peers_by_vm.items()
        }

    async def _find_peer(self, vm_id: str, entry: RosterEntry) -> _Peer:
        endpoint = (entry.address, entry.gather_port)
        peer = self._peers_by_vm.get(vm_id)
        if peer is not None and peer.endpoint == endpoint:
            return peer
        created = _Peer(endpoint, self._open_pool(*endpoint))
        self._peers_by_vm[vm_id] = created
        if peer is not None:
            await peer.pool.close()
        return created

    def _note_failure(self, peer: _Peer) -> None:
        pause_s = _AVOID_SECONDS * 2**peer.failures
        peer.failures += 1
        peer.avoid_until = self._clock() + min(pause_s, _AVOID_LIMIT_SECONDS)

    def _note_answer(self, peer: _Peer, seconds: float) -> None:
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
        raise OutcomeUnknownError('subquery: no answer in time') from error
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
