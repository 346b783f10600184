"""Tests for the permit client of the entry process."""

import unittest
from typing import Any

import anyio

from jacinthcart.errors import NotSentError, Ran, RefusalCode, RefusalError
from jacinthcart.limits import PermitClient
from jacinthcart.telemetry import Metrics
from tests.limits.fixtures import WORKSPACE, run_virtual

CALL_S = 0.01


class PermitClientTest(unittest.TestCase):
    """One call serves all waiting requests; each refusal has a code."""

    def setUp(self) -> None:
        """Configure a control process that grants every request."""
        self.requested_counts: list[int] = []
        self.in_flight = 0
        self.limit = 1000
        self.lifetime_ms = 100
        self.is_reachable = True
        self.outcomes: list[RefusalError | None] = []

    def test_waiting_requests_share_one_call(self) -> None:
        """Guards against a call rate that grows with the request rate."""
        self._run_requests(50, gap_s=0.0001)
        self.assertLess(len(self.requested_counts), 4)
        self.assertEqual(self.outcomes.count(None), 50)

    def test_permits_are_prefetched_for_steady_demand(self) -> None:
        """Guards against one call per request of a steady caller."""
        self._run_requests(1000, gap_s=0.002)
        self.assertLess(len(self.requested_counts), 200)

    def test_refusal_over_rate_says_when_to_retry(self) -> None:
        """Guards against a refusal without code or with unknown outcome."""
        self.limit = 1
        self._run_requests(3, gap_s=0)
        refusal = next(filter(None, self.outcomes))
        self.assertIs(refusal.code, RefusalCode.OVER_RATE)
        self.assertIs(refusal.ran, Ran.NOT_RUN)
        self.assertEqual(refusal.retry_after_ms, 25)
        self.assertEqual(self.outcomes.count(None), 2)

    def test_unreachable_control_is_refused_as_not_ready(self) -> None:
        """Guards against requests that wait for a stopped control process."""
        self.is_reachable = False
        self._run_requests(1, gap_s=0)
        refusal = self.outcomes[0]
        assert refusal is not None
        self.assertIs(refusal.code, RefusalCode.NOT_READY)
        self.assertIs(refusal.ran, Ran.NOT_RUN)

    def test_lifetime_counts_from_the_call(self) -> None:
        """Guards against a slow call that extends permit lifetimes."""
        self.lifetime_ms = 9
        self._run_requests(1, gap_s=0)
        self.assertIsNotNone(self.outcomes[0])

    def _run_requests(self, count: int, gap_s: float) -> None:
        run_virtual(lambda: self._send(count, gap_s))

    async def _send(self, count: int, gap_s: float) -> None:
        client = PermitClient(
            self._post,
            lambda: 50,
            anyio.current_time,
            Metrics(),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
            async with anyio.create_task_group() as requests:
                for _ in range(count):
                    requests.start_soon(self._request, client)
                    await anyio.sleep(gap_s)
            tasks.cancel_scope.cancel()

    async def _request(self, client: PermitClient) -> None:
        try:
            with anyio.fail_after(1):
                await client.acquire(WORKSPACE)
        except RefusalError as refusal:
            self.outcomes.append(refusal)
        except TimeoutError:
            self.outcomes.append(RefusalError(RefusalCode.INTERNAL))
        else:
            self.outcomes.append(None)

    async def _post(self, body: dict[str, Any]) -> dict[str, Any]:
        if not self.is_reachable:
            raise NotSentError('refused')
        self.in_flight += 1
        self.assertEqual(self.in_flight, 1)
        await anyio.sleep(CALL_S)
        self.in_flight -= 1
        wanted = body['counts'][WORKSPACE]
        self.requested_counts.append(wanted)
        count = min(wanted, self.limit)
        granted = {'count': count, 'lifetime_ms': self.lifetime_ms}
        retry = {WORKSPACE: 25} if count < wanted else {}
        return {'granted': {WORKSPACE: granted}, 'retry_after_ms': retry}
