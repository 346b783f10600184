"""Assembles and runs the gather program."""

import random
from collections.abc import Callable

import anyio

from jacinthcart.feed import StateFeed
from jacinthcart.gather._app import create_application
from jacinthcart.gather._backend import BaseDispatcher
from jacinthcart.gather._context import GatherContext
from jacinthcart.gather._peers import PeerSet, open_peer_pool
from jacinthcart.gather._plan import OwnerTable
from jacinthcart.gather._processor import ProcessorWaitEstimator
from jacinthcart.gather._request_ids import RequestIdRegistry
from jacinthcart.gather._service import GatherService
from jacinthcart.launch import StopSignal
from jacinthcart.settings import ProcessSettings
from jacinthcart.telemetry import (
    DecisionLog,
    Logger,
    Metrics,
    create_logger,
    set_log_level,
)
from jacinthcart.wire import serve_application

_DRAIN_POLL_INTERVAL_S = 0.02
#: Time to close connections after the requests in flight have finished or the
#: drain limit has passed.
_CLOSE_GRACE_S = 1.0
_MS_PER_S = 1000

#: Creates the dispatcher from the feed and the telemetry of the program.
DispatcherFactory = Callable[
    [StateFeed, Metrics, DecisionLog, Logger],
    BaseDispatcher,
]


async def run_gather(
    settings: ProcessSettings,
    stop: StopSignal,
    create_dispatcher: DispatcherFactory,
) -> None:
    """Serve until the stop signal is set and requests have drained."""
    feed = StateFeed(settings, 'gather')
    feed.listeners.append(
        lambda: set_log_level(feed.view.policy.log_level),
    )
    metrics = Metrics()
    decisions = DecisionLog()
    logger = create_logger('gather')
    dispatcher = create_dispatcher(feed, metrics, decisions, logger)
    peers = PeerSet(feed.clock, open_peer_pool)
    service = GatherService(
        GatherContext(feed, dispatcher, peers, OwnerTable(), metrics),
        RequestIdRegistry(settings.vm_id, feed.clock, random.SystemRandom()),
        decisions,
        ProcessorWaitEstimator(feed.clock),
    )
    server_stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feed.run)
        tasks.start_soon(dispatcher.run)
        tasks.start_soon(_drain, service, feed, stop, server_stopping)
        logger.info('gather_started', vm=settings.vm_id)
        await serve_application(
            create_application(service, logger),
            settings.address,
            settings.gather_port,
            server_stopping,
            _CLOSE_GRACE_S,
        )
        logger.info('gather_stopped', vm=settings.vm_id)
        tasks.cancel_scope.cancel()
    await dispatcher.close()
    await peers.close()
    await feed.close()


async def _drain(
    service: GatherService,
    feed: StateFeed,
    stop: StopSignal,
    server_stopping: anyio.Event,
) -> None:
    """Stop the server when new requests are refused and none is in flight.

    The entry of this VM stops accepting requests before the gather does.
    Gathers of other VMs send subqueries until they learn that this VM is
    leaving. The wait ends after `drain_limit_ms` in any case.
    """
    await stop.event.wait()
    service.start_leaving()
    limit_s = feed.view.policy.drain_limit_ms / _MS_PER_S
    with anyio.move_on_after(limit_s):
        while service.in_flight or not service.refuses_requests:
            await anyio.sleep(_DRAIN_POLL_INTERVAL_S)
    server_stopping.set()
