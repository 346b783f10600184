"""Tests of the admission checks before and after the permit wait."""

import unittest
from collections.abc import Callable
from typing import Any

import anyio
import httpx
import logbook

from jacinthcart.errors import Ran, RefusalCode
from tests.entry._harness import (
    AUTHORIZED,
    KEY,
    KEYS_PATH,
    OPEN,
    SEARCH,
    SUBMIT,
    WORKSPACE,
    Harness,
    digest,
    run_virtual,
)

WAIT_S = 0.2
ROUTE_PATH = 'teams/voskovka/routes/hledat'


def after_wait(step: Callable[[], Any]) -> Any:
    """Return a `before_grant` action that sleeps, then calls `step`."""

    async def act() -> None:
        await anyio.sleep(WAIT_S)
        step()

    return act


class WaitTest(unittest.TestCase):
    """A change during the permit wait causes a refusal."""

    def check(
        self,
        code: RefusalCode,
        change: Callable[[Harness], Any],
        path: str = SEARCH,
    ) -> None:
        """Apply a change while a request waits and check its refusal."""

        async def test(harness: Harness) -> None:
            harness.permits.before_grant = after_wait(lambda: change(harness))
            refused = await harness.get_refusal(path)
            self.assertEqual(refused, (code, Ran.NOT_RUN))
            self.assertEqual(harness.gather.queries, [])

        run_virtual(test)

    def test_key_revoked_while_waiting(self) -> None:
        """Guards against running a queued request whose key was revoked."""
        self.check(
            RefusalCode.KEY_INVALID,
            lambda harness: harness.feed.put(
                {KEYS_PATH: {'sha256_digests': []}},
            ),
        )

    def test_key_moved_to_another_workspace_while_waiting(self) -> None:
        """Guards against using one workspace's permit for another."""
        self.check(
            RefusalCode.KEY_INVALID,
            lambda harness: harness.feed.put(
                {
                    KEYS_PATH: {'sha256_digests': []},
                    'teams/voskovka/keys/web': {
                        'sha256_digests': [digest(KEY)],
                    },
                },
            ),
        )

    def test_route_deleted_while_waiting(self) -> None:
        """Guards against running a queued request of a deleted route."""
        self.check(
            RefusalCode.UNKNOWN_ROUTE,
            lambda harness: harness.feed.put({ROUTE_PATH: None}),
        )

    def test_lease_expired_while_waiting(self) -> None:
        """Guards against an isolated VM serving queued requests."""

        def lose_lease(harness: Harness) -> None:
            harness.feed.lease_until = harness.feed.clock()

        self.check(RefusalCode.NOT_READY, lose_lease)

    def test_data_centre_out_while_waiting(self) -> None:
        """Guards against running requests in a data centre that is out."""
        self.check(
            RefusalCode.LEAVING,
            lambda harness: harness.feed.put(
                {'fleet/data_centres': {'state_by_name': {'dc1': 'out'}}},
            ),
        )


class PermitTest(unittest.TestCase):
    """A request uses one valid permit of the workspace it is charged to."""

    def test_expired_permit_is_replaced_once(self) -> None:
        """Guards against using an expired permit."""

        async def test(harness: Harness) -> None:
            harness.permits.before_grant = after_wait(lambda: None)
            harness.permits.lifetimes_s = [WAIT_S, 1]
            response = await harness.send_query()
            self.assertEqual(response.status_code, 200)
            self.assertEqual(
                harness.permits.requested_workspaces, [WORKSPACE, WORKSPACE]
            )

        run_virtual(test)

    def test_second_expired_permit_refuses(self) -> None:
        """Guards against using a permit that expired in the second wait."""

        async def test(harness: Harness) -> None:
            harness.permits.before_grant = after_wait(lambda: None)
            harness.permits.lifetimes_s = [WAIT_S]
            self.assertEqual(
                await harness.get_refusal(),
                (RefusalCode.NOT_READY, Ran.NOT_RUN),
            )
            self.assertEqual(len(harness.permits.requested_workspaces), 2)
            self.assertEqual(harness.gather.queries, [])

        run_virtual(test)

    def test_wait_ends_at_the_deadline(self) -> None:
        """Guards against a request that waits past its deadline."""

        async def test(harness: Harness) -> None:
            harness.permits.before_grant = anyio.sleep_forever
            refused = await harness.get_refusal(deadline_ms=40)
            self.assertEqual(
                refused,
                (RefusalCode.DEADLINE_PASSED, Ran.NOT_RUN),
            )
            self.assertAlmostEqual(harness.feed.clock(), 0.04, delta=0.001)

        run_virtual(test)

    def test_forwarded_deadline_is_what_remains(self) -> None:
        """Guards against gather working past the caller's deadline."""

        async def test(harness: Harness) -> None:
            harness.permits.before_grant = after_wait(lambda: None)
            await harness.send_query(deadline_ms=600)
            await harness.send_query(deadline_ms=10**9)
            deadlines_ms = [
                query['deadline_ms'] for query in harness.gather.queries
            ]
            self.assertAlmostEqual(deadlines_ms[0], 400, delta=1)
            self.assertAlmostEqual(deadlines_ms[1], 800, delta=1)

        run_virtual(test)

    def test_open_route_is_charged_to_its_workspace(self) -> None:
        """Guards against an open route without a rate limit."""

        async def test(harness: Harness) -> None:
            for headers in ({}, AUTHORIZED):
                response = await harness.send_query(OPEN, headers)
                self.assertEqual(response.json()['workspace'], 'voskovka/web')
            self.assertEqual(
                harness.permits.requested_workspaces,
                ['voskovka/web', 'voskovka/web'],
            )

        run_virtual(test)

    def test_no_lease_refuses_at_once(self) -> None:
        """Guards against requesting permits on a VM without a lease."""

        async def test(harness: Harness) -> None:
            harness.feed.lease_until = 0
            response = await harness.send_query()
            refusal = response.json()['refusal']
            self.assertEqual(refusal['code'], RefusalCode.NOT_READY)
            others = {entry['vm'] for entry in refusal['try_addresses']}
            self.assertEqual(others, {'vm2', 'vm3', 'vm4'})
            self.assertEqual(harness.permits.requested_workspaces, [])

        run_virtual(test)

    def test_data_centre_out_refuses_with_other_addresses(self) -> None:
        """Guards against new requests in a data centre that is out."""

        async def test(harness: Harness) -> None:
            harness.feed.put(
                {'fleet/data_centres': {'state_by_name': {'dc1': 'out'}}},
            )
            response = await harness.send_query()
            refusal = response.json()['refusal']
            self.assertEqual(
                (refusal['code'], refusal['ran']),
                (RefusalCode.LEAVING, Ran.NOT_RUN),
            )
            others = {entry['vm'] for entry in refusal['try_addresses']}
            self.assertEqual(others, {'vm3', 'vm4'})
            self.assertEqual(harness.permits.requested_workspaces, [])

        run_virtual(test)


class ReportTest(unittest.TestCase):
    """The report to control contains the metrics of requests."""

    def test_report_counts_answers_waits_and_refusals(self) -> None:
        """Guards against metrics that hide poor service of a workspace."""

        async def test(harness: Harness) -> None:
            await harness.send_query()
            await harness.send_query(workspace='voskovka/web')
            report = (await harness.client.get('/v1/report')).json()
            self.assertEqual(
                set(report['metrics']['histograms']),
                {
                    f'request|{WORKSPACE}|priority',
                    f'permit_wait|{WORKSPACE}|priority',
                },
            )
            self.assertEqual(
                report['metrics']['counters'],
                {
                    'refusal|workspace_mismatch|not_run': 1,
                    f'refusal_by_workspace|{WORKSPACE}|workspace_mismatch|'
                    'not_run': 1,
                },
            )
            self.assertEqual(report['in_flight'], 1)

        run_virtual(test)

    def test_report_is_closed_to_other_machines(self) -> None:
        """Guards against callers reading other workspaces' metrics."""

        async def test(harness: Harness) -> None:
            transport = httpx.ASGITransport(
                harness.app,
                client=('10.0.0.9', 5000),
            )
            async with httpx.AsyncClient(transport=transport) as client:
                response = await client.get('http://entry/v1/report')
            self.assertEqual(response.status_code, 404)

        run_virtual(test)


class SecrecyTest(unittest.TestCase):
    """Keys and queries do not leak into logs, metrics or messages."""

    def test_key_is_in_no_message_and_no_log_line(self) -> None:
        """Guards against the key leaking to gather, logs or metrics."""

        async def test(harness: Harness) -> None:
            for path in (SEARCH, SUBMIT, OPEN):
                await harness.send_query(path)
            harness.gather.answer = fail
            await harness.send_query()
            await harness.send_query(surprise=KEY)
            await harness.send_query(workspace=KEY)
            report = await harness.client.get('/v1/report')
            self.assertIn('voskovka/praha', report.text)
            sent = repr(harness.gather.calls) + report.text
            self.assertNotIn(KEY, sent)
            self.assertNotIn(digest(KEY), sent)

        async def fail(query: Any) -> Any:
            raise RuntimeError(KEY)

        with logbook.TestHandler(level=logbook.DEBUG) as handler:
            run_virtual(test)
        lines = [record.to_dict() for record in handler.records]
        self.assertGreater(len(lines), 4)
        self.assertNotIn(KEY, repr(lines))
        self.assertNotIn(digest(KEY), repr(lines))
        self.assertNotIn('vosk"', repr(lines))
