"""Tests for the messages between borrowers and lenders."""

import random
import unittest

import anyio

from jacinthcart.limits import Borrower
from jacinthcart.telemetry import Metrics
from tests.limits.fixtures import (
    VMS,
    WORKSPACE,
    RecordingMessenger,
    create_ledger,
    create_view,
    run_virtual,
)


class BorrowerTest(unittest.TestCase):
    """Borrowing sends and waits within bounds."""

    def setUp(self) -> None:
        """Record the messages that the borrower sends."""
        self.messenger = RecordingMessenger()

    def test_sufficient_share_sends_nothing(self) -> None:
        """Guards against unneeded messages that grow with the fleet."""
        run_virtual(self._use_own_share)
        self.assertEqual(self.messenger.sent, [])

    def test_silent_owners_delay_a_request_by_the_timeout(self) -> None:
        """Guards against requests that keep waiting for unreachable VMs."""
        run_virtual(self._wait_for_silent_owners)

    def test_waiting_requests_share_one_round(self) -> None:
        """Guards against a datagram rate that grows with the request rate."""
        run_virtual(self._wait_together)
        self.assertEqual(len(self.messenger.sent), len(VMS) - 1)
        total = sum(
            message['counts'][WORKSPACE] for _, message in self.messenger.sent
        )
        self.assertEqual(total, 70)

    def test_reply_to_a_previous_run_is_dropped(self) -> None:
        """Guards against permits whose lifetime starts after their debit."""
        run_virtual(self._receive_reply_to_previous_run)

    def test_reply_counts_once(self) -> None:
        """Guards against a duplicate datagram that duplicates tokens."""
        run_virtual(self._receive_reply_twice)

    async def _use_own_share(self) -> None:
        borrower = self._create_borrower()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(borrower.run)
            await anyio.sleep(0.35)
            for _ in range(50):
                await anyio.sleep(0.025)
                acquired = await borrower.acquire({WORKSPACE: 1})
                self.assertEqual(acquired.granted[WORKSPACE].count, 1)
            tasks.cancel_scope.cancel()

    async def _wait_for_silent_owners(self) -> None:
        borrower = self._create_borrower()
        started_at = anyio.current_time()
        acquired = await borrower.acquire({WORKSPACE: 7})
        waited_s = anyio.current_time() - started_at
        self.assertAlmostEqual(waited_s, 0.02)
        self.assertEqual(acquired.granted, {})
        self.assertGreater(acquired.retry_after_ms[WORKSPACE], 0)

    async def _wait_together(self) -> None:
        borrower = self._create_borrower()
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(borrower.acquire, {WORKSPACE: 7})
            await anyio.sleep(0.002)
            tasks.cancel_scope.cancel()

    async def _receive_reply_to_previous_run(self) -> None:
        previous = self._create_borrower(1)
        await previous.acquire({WORKSPACE: 7})
        replies = self._create_replies()
        borrower = self._create_borrower(2)
        await borrower.acquire({WORKSPACE: 7})
        for reply in replies:
            await borrower.handle(reply, anyio.current_time())
        acquired = await borrower.acquire({WORKSPACE: 7})
        self.assertEqual(acquired.granted, {})

    async def _receive_reply_twice(self) -> None:
        borrower = self._create_borrower()
        await borrower.acquire({WORKSPACE: 1})
        reply = self._create_replies()[0]
        await borrower.handle(reply, anyio.current_time())
        await borrower.handle(reply, anyio.current_time())
        acquired = await borrower.acquire({WORKSPACE: 9})
        self.assertEqual(acquired.granted[WORKSPACE].count, 1)

    def _create_replies(self) -> list[dict[str, object]]:
        return [
            {
                'kind': 'lend',
                'vm': vm_id,
                'seq': message['seq'],
                'granted': {WORKSPACE: {'count': 1, 'lifetime_ms': 100}},
            }
            for vm_id, message in self.messenger.sent
        ]

    def _create_borrower(self, seed: int = 1) -> Borrower:
        ledger = create_ledger(anyio.current_time)
        ledger.apply_settings(create_view())
        return Borrower(
            ledger,
            self.messenger,
            anyio.current_time,
            Metrics(),
            random.Random(seed),
        )
