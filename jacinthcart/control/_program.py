"""Runs control: its sockets, loops and graceful stop."""

import random

import anyio

from jacinthcart.control._admin_api import create_admin_application
from jacinthcart.control._costs import Costs
from jacinthcart.control._http_bytes import HttpByteCounter
from jacinthcart.control._internal_api import create_internal_application
from jacinthcart.control._limits import create_permits
from jacinthcart.control._node import ControlNode, NodeDependencies
from jacinthcart.control._reports import Reports
from jacinthcart.control._serving import ServingWatch
from jacinthcart.network import DatagramEndpoint
from jacinthcart.launch import StopSignal
from jacinthcart.program import read_boot_clock
from jacinthcart.settings import Endpoint, ProcessSettings
from jacinthcart.sync import PeerSettingsClient, PlatformClient
from jacinthcart.telemetry import DecisionLog, Metrics, create_logger
from jacinthcart.wire import AsgiApplication, serve_application

_GRACE_S = 1.0
_MS_PER_S = 1000
_STOP_CHECK_S = 0.05


async def run_control(
    process: ProcessSettings,
    stop: StopSignal,
) -> None:
    """Run control until the stop signal and the neighbours' last poll."""
    metrics = Metrics()
    decisions = DecisionLog()
    local = Endpoint(address=process.address, port=process.control_port)
    datagrams = DatagramEndpoint(local, metrics)
    platform = PlatformClient(process.config_service, metrics)
    peer_client = PeerSettingsClient(metrics)
    node = ControlNode(
        process,
        NodeDependencies(
            platform=platform,
            peer_client=peer_client,
            datagrams=datagrams,
            permits=create_permits(process, datagrams, metrics, decisions),
            clock=read_boot_clock,
            random=random.Random(),
            metrics=metrics,
            logger=create_logger('control'),
        ),
    )
    await datagrams.start()
    try:
        await _serve(node, datagrams, stop, decisions)
    finally:
        with anyio.CancelScope(shield=True):
            await datagrams.close()
            await platform.close()
            await peer_client.close()


async def _serve(
    node: ControlNode,
    datagrams: DatagramEndpoint,
    stop: StopSignal,
    decisions: DecisionLog,
) -> None:
    closing = anyio.Event()
    outside = node.outside
    reports = Reports(node.process, outside.metrics, decisions)
    costs = Costs(outside.metrics, outside.clock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(datagrams.run, node.listener.take)
        tasks.start_soon(node.run)
        tasks.start_soon(costs.run)
        tasks.start_soon(ServingWatch(node, decisions).run)
        tasks.start_soon(_watch_stop, node, stop, closing)
        await _serve_both(
            create_internal_application(node),
            create_admin_application(node, costs, reports),
            node,
            closing,
        )
        tasks.cancel_scope.cancel()
    await reports.close()


async def _serve_both(
    internal: AsgiApplication,
    admin: AsgiApplication,
    node: ControlNode,
    closing: anyio.Event,
) -> None:
    """Serve both ports until `closing` is set.

    Each server has a task of its own: Hypercorn's asyncio worker cancels
    the task that it was called in, which an outer task group would see as a
    cancellation of the program.
    """
    process = node.process
    application_by_port = {
        process.control_port: internal,
        process.admin_port: admin,
    }
    async with anyio.create_task_group() as servers:
        for port, application in application_by_port.items():
            servers.start_soon(
                serve_application,
                HttpByteCounter(application, node.outside.metrics),
                process.address,
                port,
                closing,
                _GRACE_S,
            )


async def _watch_stop(
    node: ControlNode,
    stop: StopSignal,
    closing: anyio.Event,
) -> None:
    """Close once the neighbours have stopped polling.

    Entry and gather finish their requests with leases of this process.
    """
    await stop.event.wait()
    node.outside.logger.info('leaving')
    node.announce_leaving()
    policy = node.state.view.policy
    quiet_s = policy.serving_lease_ms / _MS_PER_S
    with anyio.move_on_after(policy.drain_limit_ms / _MS_PER_S):
        while not node.neighbours.are_silent(quiet_s):
            await anyio.sleep(_STOP_CHECK_S)
    closing.set()
