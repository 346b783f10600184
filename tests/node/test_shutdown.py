"""Tests of the graceful shutdown of a node, over real sockets."""

import os
import random
import signal
import unittest
from collections.abc import Awaitable, Callable

import anyio
import httpx

from jacinthcart.node import run_node
from jacinthcart.platform.assembly import create_node
from jacinthcart.platform.settings_file import decode_settings
from jacinthcart_lab.platform_deployment import (
    DeploymentParameters,
    PlatformDeployment,
)

_GRACE_S = 1.5
_READY_S = 20
#: Service time of every request, longer than the grace period.
_SERVICE_S = 10.0


class _StoppedNode:
    """A node with slow searchers and a caller that keeps its address."""

    def __init__(self) -> None:
        """Create the deployment; `run` starts it."""
        self._deployment = PlatformDeployment(
            DeploymentParameters(vms=1, timeout_ms=20_000), random.Random(5)
        )
        self._client = httpx.AsyncClient(timeout=20)
        self._requests = 0

    async def run(
        self, scenario: Callable[['_StoppedNode'], Awaitable[None]]
    ) -> None:
        """Start the node, run the scenario and wait for the node's end."""
        async with anyio.create_task_group() as tasks:
            await self._deployment.start(tasks)
            fields = self._deployment.create_settings(0)
            fields['platform_fields']['bounds']['grace_s'] = _GRACE_S
            node, servers = create_node(decode_settings(fields))
            async with anyio.create_task_group() as running:
                running.start_soon(run_node, node, servers)
                await self._wait_until_ready()
                for searcher in self._deployment.searchers_by_id.values():
                    searcher.faults.service_s = _SERVICE_S
                await scenario(self)
            await self._client.aclose()
            await self._deployment.close()
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Send SIGTERM to this process, in which the node runs."""
        os.kill(os.getpid(), signal.SIGTERM)

    async def wait_for_executions(self, count: int) -> None:
        """Wait until the searchers have begun to run `count` orders."""
        while self.count_orders() < count:
            await anyio.sleep(0.01)

    def count_orders(self) -> int:
        """Return how many orders the searchers have begun to run."""
        executions = self._deployment.executions
        return sum(one.service == 'orders' for one in executions)

    async def send(
        self, path: str = '/order/a', method: str = 'POST'
    ) -> httpx.Response:
        """Return the response; raise httpx.HTTPError without one."""
        self._requests += 1
        port = self._deployment.callers_port
        return await self._client.request(
            method,
            f'http://{self._deployment.addresses[0]}:{port}{path}',
            headers={
                'Host': 'shop.example',
                'X-Jacinthcart-Request-Id': f'{self._requests:016x}',
                'X-Jacinthcart-Deadline-Ms': '20000',
                'X-Jacinthcart-Credential': 'key-1',
            },
        )

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(_READY_S):
            while not await self._is_ready():
                await anyio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            response = await self.send('/search/x', 'GET')
        except httpx.HTTPError:
            return False
        return response.status_code == 200


class NodeShutdownTests(unittest.TestCase):
    """A request that a stopping node has read gets a response."""

    def test_request_that_outlasts_the_grace_period_is_answered(self) -> None:
        """Guards against a closed connection without a response."""

        async def scenario(node: _StoppedNode) -> None:
            statuses = []

            async def send() -> None:
                statuses.append((await node.send()).status_code)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await node.wait_for_executions(1)
                node.stop()
            # The request may have run, which status 503 would deny.
            self.assertEqual(statuses, [504])

        anyio.run(_StoppedNode().run, scenario)

    def test_late_request_is_rejected_at_once(self) -> None:
        """Guards against running requests that the shutdown will end."""

        async def scenario(node: _StoppedNode) -> None:
            node.stop()
            await anyio.sleep(0.58 * _GRACE_S)
            response = await node.send()
            self.assertEqual(response.status_code, 503)
            self.assertIn('Retry-After', response.headers)
            self.assertEqual(node.count_orders(), 0)

        anyio.run(_StoppedNode().run, scenario)
