"""Tests of the ASGI server under anyio."""

import unittest
from typing import Any

import anyio

from jacinthcart.wire import serve_application


async def application(scope: Any, receive: Any, send: Any) -> None:
    """Handle lifespan events only."""
    if scope['type'] == 'lifespan':
        await receive()
        await send({'type': 'lifespan.startup.complete'})
        await receive()
        await send({'type': 'lifespan.shutdown.complete'})


class ServeApplicationTest(unittest.TestCase):
    """A stopped server has no effect on the task that started it."""

    def test_scope_cancelled_after_serving_raises_no_error(self) -> None:
        """Guards against CancelledError after a graceful shutdown."""

        async def run() -> None:
            stopping = anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(anyio.sleep_forever)
                stopping.set()
                await serve_application(
                    application,
                    '127.0.0.1',
                    0,
                    stopping,
                    1,
                )
                tasks.cancel_scope.cancel()

        for backend in ('asyncio', 'trio'):
            anyio.run(run, backend=backend)
