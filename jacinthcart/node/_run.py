"""Runs a node until a planned stop is over."""

import signal
from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup

from jacinthcart.front import FrontServer
from jacinthcart.node._node import Node
from jacinthcart.node._peer_api import PeerHandler
from jacinthcart.network import Endpoint

#: Part of the time until the kill for which requests are still taken:
#: callers keep addresses of this VM for a while.
_SERVING_SHARE = 0.6
#: Part of the time until the kill after which nothing is waited for.
_CLOSING_SHARE = 0.92


async def run_node(
    node: Node,
    servers: Sequence[FrontServer],
    *,
    has_signals: bool = True,
) -> None:
    """Serve until SIGTERM or SIGINT and then end gracefully.

    Without signals, as in tests, serve until cancelled.
    """
    settings = node.settings
    peer_server = FrontServer(
        Endpoint(address=settings.address, port=settings.peer_port),
        PeerHandler(node),
        node.clock,
        node.logger,
    )
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        if has_signals:
            tasks.start_soon(_watch_signals, node, stop)
        for server in (*servers, peer_server):
            await server.start(tasks)
        await node.start(tasks)
        node.logger.info(
            'started',
            vm=settings.vm_id,
            address=settings.address,
            data_centre=settings.data_centre,
            seeds=settings.seeds,
        )
        await stop.wait()
        await _stop(node, servers, tasks)


async def _stop(
    node: Node,
    servers: Sequence[FrontServer],
    tasks: TaskGroup,
) -> None:
    stop_s = node.settings.bounds.stop_s
    started_at = node.clock()
    node.logger.info('stopping', grace_s=stop_s)
    for server in servers:
        server.drain()
    await node.leave()
    await anyio.sleep(stop_s * _SERVING_SHARE)
    left_s = stop_s * _CLOSING_SHARE - (node.clock() - started_at)
    with anyio.move_on_after(max(0, left_s)):
        async with anyio.create_task_group() as closing:
            for server in servers:
                closing.start_soon(server.close)
    await node.close()
    node.logger.info('stopped', took_s=round(node.clock() - started_at, 3))
    tasks.cancel_scope.cancel()


async def _watch_signals(node: Node, stop: anyio.Event) -> None:
    received = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*received) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                node.logger.info('settings file changed; nothing in it can')
            else:
                stop.set()
