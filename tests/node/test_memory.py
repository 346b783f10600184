"""Tests of the memory that a node holds for its callers."""

import random
from unittest import TestCase, mock

import anyio

from jacinthcart.front._memory import BaseAccountHolder
from jacinthcart.network import Endpoint
from jacinthcart.node import Node
from jacinthcart.platform.assembly import create_node
from jacinthcart.platform.settings_file import decode_settings
from jacinthcart_lab.platform_deployment import (
    DeploymentParameters,
    PlatformDeployment,
)

_REQUEST = b'GET /a/ HTTP/1.1\r\nHost: shop.example\r\n\r\n'


class CallerMemoryTests(TestCase):
    """The limit follows from the VM's memory and holds for all callers."""

    def test_full_memory_refuses_callers_but_not_the_platform(self) -> None:
        """Guards against a limit that a server does not have.

        Without a limit of its own, the platform's check of readiness would
        be refused as well, and the VM would be taken for a dead one.
        """
        callers, directory, readiness = anyio.run(_ask_with_full_memory)
        self.assertIn(b' 503 ', callers)
        # Another VM may have memory, so the delay is short.
        self.assertIn(b'Retry-After: 0.100\r\n', callers)
        self.assertIn(b'Connection: close\r\n', directory)
        self.assertNotIn(b'Connection: close\r\n', readiness)


async def _ask_with_full_memory() -> list[bytes]:
    deployment = PlatformDeployment(DeploymentParameters(), random.Random(5))
    async with anyio.create_task_group() as tasks:
        await deployment.start(tasks)
        settings = decode_settings(deployment.create_settings(0))
        node, servers = create_node(settings)
        _fill(node)
        for server in servers:
            await server.start(tasks)
        endpoints = (settings.callers, settings.directory, settings.readiness)
        responses = [await _ask(endpoint) for endpoint in endpoints]
        await node.close()
        await deployment.close()
        tasks.cancel_scope.cancel()
    return responses


def _fill(node: Node) -> None:
    # Just more than the part of 15 % of the memory in which requests are read.
    held_bytes = int(node.settings.memory_bytes * 0.15 * 0.75)
    holder = mock.create_autospec(BaseAccountHolder, instance=True)
    account = node.caller_memory.open(holder)
    account.receive(held_bytes)
    account.complete_incoming()


async def _ask(endpoint: Endpoint) -> bytes:
    async with await anyio.connect_tcp(
        endpoint.address, endpoint.port
    ) as stream:
        await stream.send(_REQUEST)
        return await stream.receive()
