"""Runs control: its sockets, loops and graceful stop."""

import random
from collections.abc import Callable

import anyio

from jacinthcart.control._internal_api import create_internal_application
from jacinthcart.control._node import ControlNode, Surroundings
from jacinthcart.control._permits import BasePermitService, NoPermitService
from jacinthcart.control._warm import MergeEntries, keep_higher_incident
from jacinthcart.membership import BaseDatagrams, DatagramEndpoint
from jacinthcart.program import StopSignal, read_boot_clock
from jacinthcart.settings import Endpoint, ProcessSettings
from jacinthcart.sync import PeerSettingsClient, PlatformClient
from jacinthcart.telemetry import Metrics, create_logger
from jacinthcart.wire import serve_application

_GRACE_S = 1.0
_MS_PER_S = 1000
_STOP_CHECK_S = 0.05

#: Creates the permit service from VM id, datagrams and metrics.
PermitFactory = Callable[
    [ProcessSettings, BaseDatagrams, Metrics],
    BasePermitService,
]


def create_no_permits(
    process: ProcessSettings,
    datagrams: BaseDatagrams,
    metrics: Metrics,
) -> BasePermitService:
    """Return the permit service that grants nothing."""
    return NoPermitService()


async def run_control(
    process: ProcessSettings,
    stop: StopSignal,
    create_permits: PermitFactory = create_no_permits,
    merge_warm: MergeEntries = keep_higher_incident,
) -> None:
    """Run control until the stop signal and the neighbours' last poll."""
    metrics = Metrics()
    local = Endpoint(address=process.address, port=process.control_port)
    datagrams = DatagramEndpoint(local, metrics)
    platform = PlatformClient(process.config_service)
    peer_client = PeerSettingsClient()
    node = ControlNode(
        process,
        Surroundings(
            platform=platform,
            peer_client=peer_client,
            datagrams=datagrams,
            permits=create_permits(process, datagrams, metrics),
            merge_warm=merge_warm,
            clock=read_boot_clock,
            random=random.Random(),
            metrics=metrics,
            logger=create_logger('control'),
        ),
    )
    await datagrams.start()
    try:
        await _serve(node, datagrams, stop)
    finally:
        with anyio.CancelScope(shield=True):
            await datagrams.close()
            await platform.close()
            await peer_client.close()


async def _serve(
    node: ControlNode,
    datagrams: DatagramEndpoint,
    stop: StopSignal,
) -> None:
    closing = anyio.Event()
    process = node.process
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(datagrams.run, node.listener.take)
        tasks.start_soon(node.run)
        tasks.start_soon(_watch_stop, node, stop, closing)
        await serve_application(
            create_internal_application(node),
            process.address,
            process.control_port,
            closing,
            _GRACE_S,
        )
        tasks.cancel_scope.cancel()


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
