"""Tests of the graceful shutdown of the entry."""

import socket
import unittest
from collections.abc import Awaitable, Callable

import anyio
import httpx

from jacinthcart.errors import Ran, RefusalCode
from jacinthcart.wire import serve_application
from tests.entry._harness import (
    AUTHORIZED,
    QUERY,
    SEARCH,
    Harness,
    answer_completely,
    open_harness,
    read_refusal,
    run_virtual,
)

ANNOUNCE_S = 1


class DrainTest(unittest.TestCase):
    """A graceful shutdown does not interrupt requests."""

    def test_phases_of_a_stop(self) -> None:
        """Guards against a stop without announcement or typed refusals."""

        async def test(harness: Harness) -> None:
            drain = harness.components.drain
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(drain.run)
                await anyio.wait_all_tasks_blocked()
                response = await harness.send_query()
                self.assertNotIn('connection', response.headers)
                drain.announce()
                await anyio.sleep(ANNOUNCE_S / 2)
                response = await harness.send_query()
                self.assertEqual(response.status_code, 200)
                self.assertEqual(response.headers['connection'], 'close')
                await anyio.sleep(ANNOUNCE_S)
                response = await harness.send_query()
                self.assertEqual(
                    read_refusal(response),
                    (RefusalCode.LEAVING, Ran.NOT_RUN),
                )
                self.assertEqual(response.headers['connection'], 'close')
                self.assertFalse(drain.closing.is_set())
                await drain.closing.wait()

        run_virtual(test)

    def test_request_in_flight_is_finished(self) -> None:
        """Guards against closing the server during a running request."""

        async def test(harness: Harness) -> None:
            await self.check_closing_time(harness, 4, 4)

        run_virtual(test)

    def test_drain_ends_at_its_limit(self) -> None:
        """Guards against a stuck request blocking the shutdown."""

        async def test(harness: Harness) -> None:
            policy = {'drain_limit_ms': 5000}
            harness.feed.put({'fleet/policy': policy})
            await self.check_closing_time(harness, 50, 6)

        run_virtual(test)

    def test_request_that_outlasts_the_drain_is_refused(self) -> None:
        """Guards against a closed connection without a response."""

        async def test(harness: Harness) -> None:
            harness.feed.put({'fleet/policy': {'drain_limit_ms': 5000}})
            refusals = []

            async def send() -> None:
                refusals.append(read_refusal(await harness.send_query()))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.check_closing_time, harness, 50, 6, send)
            # The request may have run.
            self.assertEqual(refusals, [(RefusalCode.LEAVING, Ran.UNKNOWN)])

        run_virtual(test)

    async def check_closing_time(
        self,
        harness: Harness,
        answer_after_s: float,
        closing_at: float,
        send: Callable[[], Awaitable[object]] | None = None,
    ) -> None:
        """Stop during a request and check the time when the drain ends."""
        drain = harness.components.drain

        async def answer_after_delay(query: dict[str, object]) -> object:
            await anyio.sleep(answer_after_s)
            return await answer_completely(query)

        harness.gather.answer = answer_after_delay
        route = {'kind': 'search', 'service': 'katalog', 'deadline_ms': 60000}
        harness.feed.put({'teams/voskovka/routes/hledat': route})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.run)
            tasks.start_soon(send or harness.send_query)
            await anyio.wait_all_tasks_blocked()
            drain.announce()
            await drain.closing.wait()
            self.assertEqual(anyio.current_time(), closing_at)

    def test_leaving_flag_from_control_starts_the_drain(self) -> None:
        """Guards against an entry that keeps serving on a leaving VM."""

        async def test(harness: Harness) -> None:
            harness.feed.is_leaving = True
            for listener in harness.feed.listeners:
                listener()
            self.assertTrue(harness.components.drain.is_leaving)

        run_virtual(test)


class ServingTest(unittest.TestCase):
    """Refusals reach the caller through the real HTTP server."""

    def test_body_above_the_limit_over_a_connection(self) -> None:
        """Guards against losing the refusal while the caller still sends."""

        async def test(base_url: str, harness: Harness) -> None:
            body = b'a' * 5_000_000
            async with httpx.AsyncClient(base_url=base_url) as client:
                response = await client.post(
                    SEARCH,
                    headers=AUTHORIZED,
                    content=body,
                )
            self.assertEqual(
                read_refusal(response),
                (RefusalCode.BODY_TOO_LARGE, Ran.NOT_RUN),
            )

        self.run_over_http(test)

    def test_keep_alive_connection_is_refused_and_closed_when_leaving(
        self,
    ) -> None:
        """Guards against closing a connection without a typed refusal."""

        async def test(base_url: str, harness: Harness) -> None:
            async with httpx.AsyncClient(base_url=base_url) as client:
                for status in (200, 503):
                    response = await client.post(
                        SEARCH,
                        headers=AUTHORIZED,
                        json={'query': QUERY},
                    )
                    self.assertEqual(response.status_code, status)
                    harness.components.drain.announce()
                    harness.components.drain.is_refusing = True
                self.assertEqual(response.headers['connection'], 'close')

        self.run_over_http(test)

    def run_over_http(self, test: object) -> None:
        """Run a test against the entry over loopback HTTP."""
        with socket.create_server(('127.0.0.1', 0)) as probe:
            port = probe.getsockname()[1]

        async def run() -> None:
            async with open_harness() as harness:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        serve_application,
                        harness.app,
                        '127.0.0.1',
                        port,
                        harness.components.drain.closing,
                        1,
                    )
                    await wait_for_server(port)
                    await test(f'http://127.0.0.1:{port}', harness)
                    harness.components.drain.closing.set()

        for backend in ('asyncio', 'trio'):
            anyio.run(run, backend=backend)


async def wait_for_server(port: int) -> None:
    """Return once the server accepts connections."""
    for _ in range(500):
        try:
            stream = await anyio.connect_tcp('127.0.0.1', port)
        except OSError:
            await anyio.sleep(0.01)
            continue
        await stream.aclose()
        return
