"""Serving an ASGI application with Hypercorn under anyio."""

import functools
import importlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import sniffio

_KEEP_ALIVE_SECONDS = 600
_MAX_KEEP_ALIVE_REQUESTS = 1_000_000_000
_BACKLOG = 1024

AsgiApplication = Callable[[Any, Any, Any], Awaitable[None]]


async def serve_application(
    application: AsgiApplication,
    address: str,
    port: int,
    stopping: anyio.Event,
    grace_s: float,
) -> None:
    """Serve until `stopping` is set, then finish requests in flight.

    Requests still running after `grace_s` seconds are cut.
    """
    # Processes that serve nothing by Hypercorn do not pay for its import.
    config = importlib.import_module('hypercorn.config').Config()
    config.bind = [f'{address}:{port}']
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = grace_s
    config.shutdown_timeout = grace_s
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = _MAX_KEEP_ALIVE_REQUESTS
    config.backlog = _BACKLOG
    config.include_server_header = False
    # Only the worker of the running event loop is imported: both together
    # take about 10 MB of each process.
    library = sniffio.current_async_library()
    backend: Any = importlib.import_module(f'hypercorn.{library}')
    serve = functools.partial(
        backend.serve,
        application,
        config,
        shutdown_trigger=stopping.wait,
        mode='asgi',
    )
    # Hypercorn's shutdown under asyncio leaves a cancellation request on
    # the task that it runs in, so it gets a task of its own: the caller's
    # next cancelled scope would raise CancelledError to the top.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
