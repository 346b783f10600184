"""Runs a node until the end of its graceful shutdown."""

import signal
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup

from jacinthcart.errors import SettingsError
from jacinthcart.front import BaseRequestHandler, HttpServer
from jacinthcart.network import Endpoint
from jacinthcart.node._node import Node
from jacinthcart.node._operator_api import OperatorHandler
from jacinthcart.node._peer_api import PeerHandler
from jacinthcart.node._settings import NodeSettings

#: Reads and validates the settings file; raises SettingsError.
LoadSettings = Callable[[], NodeSettings]

#: Seconds between two reads of the settings file.
_SETTINGS_CHECK_INTERVAL_S = 2.0
#: Fraction of the grace period in which requests are still accepted, as
#: callers cache addresses of this VM for a while.
_SERVING_FRACTION = 0.6
#: Fraction of the grace period after which connections are no longer waited
#: for. Every request has been answered by then; the rest of the time is for
#: callers that read slowly.
_CLOSING_FRACTION = 0.98


async def run_node(
    node: Node,
    servers: Sequence[HttpServer],
    *,
    handle_signals: bool = True,
    load_settings: LoadSettings | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Without `handle_signals`, as in tests, serve until cancelled.
    `load_settings` reads the settings file again and may raise
    SettingsError.
    """
    try:
        await _serve(
            node, servers, load_settings, handle_signals=handle_signals
        )
    finally:
        # Sockets are closed only after all tasks that read from them have
        # ended.
        with anyio.CancelScope(shield=True):
            await node.close()
    node.logger.info('stopped')


async def _serve(
    node: Node,
    servers: Sequence[HttpServer],
    load_settings: LoadSettings | None,
    *,
    handle_signals: bool,
) -> None:
    settings = node.settings
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        if handle_signals:
            tasks.start_soon(_watch_signals, node, stop, load_settings)
        if load_settings is not None:
            tasks.start_soon(_watch_settings, node, load_settings)
        for server in (*servers, *_create_own_servers(node)):
            await server.start(tasks)
        await _start_metrics(node, tasks)
        await node.start(tasks)
        node.logger.info(
            'started',
            vm=settings.vm_id,
            address=settings.address,
            data_centre=settings.data_centre,
            seeds=settings.seeds,
        )
        await stop.wait()
        await _stop(node, servers)
        tasks.cancel_scope.cancel()


def _create_own_servers(node: Node) -> list[HttpServer]:
    settings = node.settings
    peers = Endpoint(address=settings.address, port=settings.peer_port)
    handlers: list[tuple[Endpoint, BaseRequestHandler]] = [
        (peers, PeerHandler(node)),
    ]
    if settings.operators is not None:
        handlers.append((settings.operators, OperatorHandler(node)))
    return [
        HttpServer(endpoint, handler, node.clock, node.logger)
        for endpoint, handler in handlers
    ]


async def _start_metrics(node: Node, tasks: TaskGroup) -> None:
    endpoint = node.settings.metrics
    if endpoint is None:
        return
    handler = OperatorHandler(node)
    server = HttpServer(endpoint, handler, node.clock, node.logger)
    try:
        await server.start(tasks)
    except OSError as error:
        # Not fatal: serving callers is more important, and metrics are also
        # available at the operators' address.
        node.logger.error(
            'metrics port unavailable',
            port=endpoint.port,
            error=str(error),
        )


async def _stop(node: Node, servers: Sequence[HttpServer]) -> None:
    stop_s = node.settings.bounds.stop_s
    started_at = node.clock()
    node.logger.info('stopping', grace_s=stop_s)
    for server in servers:
        server.drain()
    await node.leave()
    await anyio.sleep(stop_s * _SERVING_FRACTION)
    left_s = stop_s * _CLOSING_FRACTION - (node.clock() - started_at)
    with anyio.move_on_after(max(0, left_s)):
        async with anyio.create_task_group() as closing:
            for server in servers:
                closing.start_soon(server.close)


async def _watch_signals(
    node: Node,
    stop: anyio.Event,
    load_settings: LoadSettings | None,
) -> None:
    received = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*received) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                stop.set()
            elif load_settings is not None:
                node.logger.info('SIGHUP received; reloading settings')
                reload_settings(node, load_settings)


async def _watch_settings(node: Node, load_settings: LoadSettings) -> None:
    # The settings file may change without a signal.
    while True:
        await anyio.sleep(_SETTINGS_CHECK_INTERVAL_S)
        reload_settings(node, load_settings)


def reload_settings(node: Node, load_settings: LoadSettings) -> None:
    """Apply changed settings; keep the current ones if invalid."""
    try:
        settings = load_settings()
    except SettingsError as error:
        node.logger.error(
            'invalid settings; keeping the last valid ones',
            limit_key='invalid_settings',
            error=str(error),
        )
        return
    if settings != node.settings:
        node.apply_settings(settings)
