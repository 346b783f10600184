"""Runs the control program: sockets, loops and graceful shutdown."""

import random

import anyio

from jacinthcart.control._admin_api import create_admin_application
from jacinthcart.control._http_bytes import HttpByteCounter
from jacinthcart.control._internal_api import create_internal_application
from jacinthcart.control._limits import create_permit_service
from jacinthcart.control._node import ControlNode, NodeDependencies
from jacinthcart.control._reports import ReportCollector
from jacinthcart.control._resource_usage import ResourceUsage
from jacinthcart.control._serving import ServingMonitor
from jacinthcart.launch import StopSignal
from jacinthcart.network import DatagramEndpoint
from jacinthcart.program import read_boot_clock
from jacinthcart.settings import Endpoint, ProcessSettings
from jacinthcart.sync import PeerSettingsClient, PlatformClient
from jacinthcart.telemetry import DecisionLog, Metrics, create_logger
from jacinthcart.wire import AsgiApplication, serve_application

_SHUTDOWN_GRACE_S = 1.0
_MS_PER_S = 1000
_DRAIN_CHECK_INTERVAL_S = 0.05


async def run_control(
    process: ProcessSettings,
    stop: StopSignal,
) -> None:
    """Run until `stop` is set and the local processes stop polling."""
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
            permits=create_permit_service(
                process, datagrams, metrics, decisions
            ),
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
    deps = node.dependencies
    reports = ReportCollector(node.process, deps.metrics, decisions)
    usage = ResourceUsage(deps.metrics, deps.clock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(datagrams.run, node.datagram_handler.handle)
        tasks.start_soon(node.run)
        tasks.start_soon(usage.run)
        tasks.start_soon(ServingMonitor(node, decisions).run)
        tasks.start_soon(_close_after_drain, node, stop, closing)
        await _serve_ports(
            create_internal_application(node),
            create_admin_application(node, usage, reports),
            node,
            closing,
        )
        tasks.cancel_scope.cancel()
    await reports.close()


async def _serve_ports(
    internal: AsgiApplication,
    admin: AsgiApplication,
    node: ControlNode,
    closing: anyio.Event,
) -> None:
    """Serve both ports until `closing` is set.

    Each server runs in its own task: Hypercorn's asyncio worker cancels the
    task in which it was called, which an outer task group would interpret as
    a cancellation of the program.
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
                HttpByteCounter(application, node.dependencies.metrics),
                process.address,
                port,
                closing,
                _SHUTDOWN_GRACE_S,
            )


async def _close_after_drain(
    node: ControlNode,
    stop: StopSignal,
    closing: anyio.Event,
) -> None:
    """Set `closing` once the local processes have stopped polling.

    Entry and gather need leases of this process to finish their requests.
    """
    await stop.event.wait()
    node.dependencies.logger.info('leaving')
    node.announce_leaving()
    policy = node.state.view.policy
    idle_s = policy.serving_lease_ms / _MS_PER_S
    with anyio.move_on_after(policy.drain_limit_ms / _MS_PER_S):
        while not node.local_processes.are_inactive(idle_s):
            await anyio.sleep(_DRAIN_CHECK_INTERVAL_S)
    closing.set()
