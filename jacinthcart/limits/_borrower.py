"""Borrows tokens from the other owners of a workspace."""

import collections
import itertools
import random
from collections.abc import Mapping
from typing import Any

import anyio

from jacinthcart.limits._ledger import (
    AcquireResult,
    CountsByOwner,
    Loan,
    TokenLedger,
)
from jacinthcart.limits._lender import BasePeerMessenger
from jacinthcart.limits._messages import (
    BorrowMessage,
    LendMessage,
    parse_message,
)
from jacinthcart.limits._pending import PendingBorrows
from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics

_MS_PER_S = 1000
#: Maximum number of on-demand rounds in one borrowing interval.
_ROUNDS_PER_INTERVAL = 10
#: Fraction of `borrow_timeout_ms` that one round waits for replies, so that an
#: unreachable VM does not delay the next round. Later replies are still used.
_ROUND_TIMEOUT_FRACTION = 0.25
#: Space for counts in one datagram: at most 1,400 bytes, of which 200 are
#: reserved for the other fields.
_COUNTS_BYTES = 1200
#: Size in bytes of one workspace's entry in a reply, without its id.
_ENTRY_BYTES = 60


class Borrower:
    """Acquires permits from this VM first and then from other owners.

    The owning program runs `run` as a task. All waiting callers share the
    on-demand borrowing rounds, and rounds have a minimum spacing. The
    datagram rate is therefore bounded independently of traffic and fleet
    size.
    """

    def __init__(
        self,
        ledger: TokenLedger,
        messenger: BasePeerMessenger,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        """Create a borrower for `ledger` that sends through `messenger`."""
        self._ledger = ledger
        self._messenger = messenger
        self._clock = clock
        self._metrics = metrics
        self._pending = PendingBorrows(clock, rng or random.Random())
        self._reply_arrived = anyio.Event()
        self._round_ended: anyio.Event | None = None
        self._last_round_sent_at = float('-inf')
        self._waiter_ids = itertools.count()
        self._counts_by_waiter: dict[int, Mapping[str, int]] = {}

    async def acquire(self, counts: Mapping[str, int]) -> AcquireResult:
        """Acquire permits, waiting at most `borrow_timeout_ms` for loans."""
        if self._plan_requests(counts):
            await self._borrow(counts)
        return self._ledger.acquire(counts)

    async def handle(self, message: Any, received_at: float) -> None:
        """Handle a `lend` datagram.

        A reply to an unknown request is dropped: the expiry of its tokens
        cannot be determined, because it is not known when they were debited.
        Raise InvalidMessageError if the datagram is malformed.
        """
        reply = parse_message(LendMessage, message)
        borrow = self._pending.pop(reply.seq, reply.vm)
        if borrow is None:
            self._metrics.count('loans_of_unknown_request')
            return
        granted = {
            workspace_id: Loan(permits.count, permits.lifetime_ms)
            for workspace_id, permits in reply.granted.items()
        }
        self._ledger.receive_loan(granted, borrow.sent_at)
        self._ledger.lender_estimates.record_reply(
            borrow.vm_id,
            borrow.counts,
            {key: loan.count for key, loan in granted.items()},
        )
        self._reply_arrived.set()
        self._reply_arrived = anyio.Event()

    async def run(self) -> None:
        """Borrow the predicted demand each interval until cancelled."""
        while True:
            interval_ms = self._ledger.policy.borrow_interval_ms
            await anyio.sleep(interval_ms / _MS_PER_S)
            self._record_overdue()
            await self._send(self._ledger.plan_borrowing())

    async def _borrow(self, counts: Mapping[str, int]) -> None:
        timeout_s = self._ledger.compute_loan_timeout_s(counts)
        waiter_id = next(self._waiter_ids)
        self._counts_by_waiter[waiter_id] = counts
        try:
            with anyio.move_on_after(timeout_s):
                await self._repeat_rounds(counts)
        finally:
            self._counts_by_waiter.pop(waiter_id)

    async def _repeat_rounds(self, counts: Mapping[str, int]) -> None:
        while self._plan_requests(counts):
            if self._round_ended is None:
                await self._run_shared_round()
            else:
                await self._round_ended.wait()

    async def _run_shared_round(self) -> None:
        """Run one round on behalf of all waiting callers."""
        ended = anyio.Event()
        self._round_ended = ended
        try:
            await self._run_round()
        finally:
            self._round_ended = None
            ended.set()

    async def _run_round(self) -> None:
        interval_s = self._ledger.policy.borrow_interval_ms / _MS_PER_S
        pause_s = interval_s / _ROUNDS_PER_INTERVAL
        elapsed_s = self._clock() - self._last_round_sent_at
        await anyio.sleep(max(0.0, pause_s - elapsed_s))
        wanted = self._sum_requested()
        self._record_overdue()
        self._last_round_sent_at = self._clock()
        seqs = await self._send(self._plan_requests(wanted))
        timeout_s = self._ledger.policy.borrow_timeout_ms / _MS_PER_S
        with anyio.move_on_after(timeout_s * _ROUND_TIMEOUT_FRACTION):
            await self._wait_for_replies(seqs, wanted)

    async def _wait_for_replies(
        self,
        seqs: list[int],
        wanted: Mapping[str, int],
    ) -> None:
        while self._pending.is_waiting(seqs):
            if not self._ledger.compute_shortage(wanted):
                return
            await self._reply_arrived.wait()

    def _sum_requested(self) -> dict[str, int]:
        wanted: collections.Counter[str] = collections.Counter()
        for counts in self._counts_by_waiter.values():
            wanted.update(counts)
        return dict(wanted)

    def _plan_requests(self, counts: Mapping[str, int]) -> CountsByOwner:
        return self._ledger.split(self._ledger.compute_shortage(counts))

    def _record_overdue(self) -> None:
        timeout_s = self._ledger.policy.borrow_timeout_ms / _MS_PER_S
        for vm_id in self._pending.list_newly_overdue(timeout_s):
            self._ledger.lender_estimates.record_timeout(vm_id)

    async def _send(self, counts_by_owner: CountsByOwner) -> list[int]:
        seqs = []
        for vm_id, counts in counts_by_owner.items():
            fitting = _select_fitting_counts(counts)
            seq = self._pending.add(vm_id, fitting)
            seqs.append(seq)
            self._metrics.count('borrow_requests_sent')
            message = BorrowMessage(
                vm=self._ledger.vm_id,
                seq=seq,
                counts=fitting,
            )
            await self._messenger.send(vm_id, message.model_dump())
        return seqs


def _select_fitting_counts(counts: Mapping[str, int]) -> dict[str, int]:
    """Return the largest counts whose reply fits into one datagram."""
    fitting = {}
    size = 0
    for workspace_id in sorted(counts, key=counts.__getitem__, reverse=True):
        size += len(workspace_id) + _ENTRY_BYTES
        if size > _COUNTS_BYTES:
            break
        fitting[workspace_id] = counts[workspace_id]
    return fitting
