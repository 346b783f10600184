"""Tests of what a node holds of the responses of answered requests."""

import gc
from unittest import TestCase, mock

import anyio

from jacinthcart.routing import _pool as pool_module
from jacinthcart.routing._response_memory import ResponseMemory
from jacinthcart_lab.platform_deployment import DeploymentParameters
from tests.node.test_path import NodeFixture

#: Seconds within which an abandoned send ends.
_SETTLING_S = 1.0


class ResponseReleaseTests(TestCase):
    """An answered request holds nothing of its searchers' responses."""

    def test_answered_requests_hold_no_response(self) -> None:
        """Guards against a count that complete responses fill for good.

        Every later response would fail for lack of room.
        """
        memories: list[ResponseMemory] = []

        def create(limit_bytes: int) -> ResponseMemory:
            memories.append(ResponseMemory(limit_bytes))
            return memories[-1]

        async def scenario(fixture: NodeFixture) -> None:
            gc.collect()
            gc.disable()
            for path in ('/search/q', '/order/o') * 10:
                method = 'POST' if path == '/order/o' else 'GET'
                await fixture.send(path, method=method)
            await anyio.sleep(_SETTLING_S)
            self.assertEqual([one.held_bytes for one in memories], [0])

        self.addCleanup(gc.enable)
        fixture = NodeFixture(DeploymentParameters(vms=1))
        with mock.patch.object(pool_module, 'ResponseMemory', create):
            anyio.run(fixture.run, scenario)
