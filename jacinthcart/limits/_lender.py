"""Answers token requests of other control processes."""

import abc
from typing import Any

from jacinthcart.limits._ledger import TokenLedger
from jacinthcart.limits._messages import (
    BorrowMessage,
    GrantedPermits,
    LendMessage,
    parse_message,
)
from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics

_MS_PER_S = 1000


class BasePeerMessenger(abc.ABC):
    """Sends datagrams to other control processes; any may be lost."""

    @abc.abstractmethod
    async def send(self, vm_id: str, message: dict[str, Any]) -> None:
        """Send one message without waiting for its delivery."""


class Lender:
    """Answers `borrow` datagrams from this VM's own buckets."""

    def __init__(
        self,
        ledger: TokenLedger,
        messenger: BasePeerMessenger,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a lender for `ledger` that replies through `messenger`."""
        self._ledger = ledger
        self._messenger = messenger
        self._clock = clock
        self._metrics = metrics

    async def handle(self, message: Any, received_at: float) -> None:
        """Handle a `borrow` datagram: debit the buckets, then reply.

        A request that was queued for longer than the borrower waits is
        dropped, because its tokens would expire unused. Raise
        InvalidMessageError if the datagram is malformed.
        """
        request = parse_message(BorrowMessage, message)
        timeout_ms = self._ledger.policy.borrow_timeout_ms
        if (self._clock() - received_at) * _MS_PER_S > timeout_ms:
            self._metrics.count('borrow_requests_late')
            return
        loans = self._ledger.lend(request.counts)
        reply = LendMessage(
            vm=self._ledger.vm_id,
            seq=request.seq,
            granted={
                workspace_id: GrantedPermits(
                    count=loan.count,
                    lifetime_ms=loan.lifetime_ms,
                )
                for workspace_id, loan in loans.items()
            },
        )
        await self._messenger.send(request.vm, reply.model_dump())
