"""HTTP server for ASGI applications, based on Hypercorn and anyio."""

import functools
import importlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import sniffio

_KEEP_ALIVE_TIMEOUT_S = 600
#: Practically unlimited; Hypercorn closes a connection after that many
#: requests.
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

    Requests that are still running after `grace_s` seconds are aborted.
    """
    # Imported lazily, so that processes that use `jacinthcart.wire` only as
    # a client do not load Hypercorn.
    config = importlib.import_module('hypercorn.config').Config()
    config.bind = [f'{address}:{port}']
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = grace_s
    config.shutdown_timeout = grace_s
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = _MAX_KEEP_ALIVE_REQUESTS
    config.backlog = _BACKLOG
    config.include_server_header = False
    # Import only the worker for the running event loop: both workers
    # together take about 10 MB of memory in each process.
    library = sniffio.current_async_library()
    backend: Any = importlib.import_module(f'hypercorn.{library}')
    serve = functools.partial(
        backend.serve,
        application,
        config,
        shutdown_trigger=stopping.wait,
        mode='asgi',
    )
    # Under asyncio, Hypercorn's shutdown leaves a pending cancellation
    # request on the task that it runs in. It runs in a separate task, as
    # otherwise the next cancelled scope of the caller would let
    # CancelledError propagate to the top level.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
