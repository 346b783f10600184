"""The entry program: creates its components and serves until stopped."""

import random

import anyio

from jacinthcart.entry._addresses import AddressSelector
from jacinthcart.entry._admission import Admission
from jacinthcart.entry._app import EntryApp, EntryComponents
from jacinthcart.entry._drain import Drain
from jacinthcart.entry._forward import GatherClient, PoolFactory
from jacinthcart.entry._handler import QueryHandler
from jacinthcart.entry._permits import BasePermitSource, ControlPermitSource
from jacinthcart.feed import StateFeed
from jacinthcart.launch import StopSignal
from jacinthcart.settings import ProcessSettings
from jacinthcart.telemetry import (
    DecisionLog,
    Logger,
    Metrics,
    create_logger,
    set_log_level,
)
from jacinthcart.wire import ConnectionPool, serve_application

_PROGRAM = 'entry'
#: Time to finish writing responses after the drain has ended.
_CLOSE_GRACE_S = 1


def build_components(
    feed: StateFeed,
    permits: BasePermitSource,
    metrics: Metrics,
    logger: Logger,
    random_source: random.Random,
    create_pool: PoolFactory = ConnectionPool,
) -> EntryComponents:
    """Create the components of one entry and connect them."""
    drain = Drain(feed)
    gather = GatherClient(feed, metrics, create_pool)
    admission = Admission(feed, permits, drain, metrics)
    return EntryComponents(
        feed=feed,
        drain=drain,
        handler=QueryHandler(
            feed, admission, gather, drain, metrics, random_source
        ),
        gather=gather,
        addresses=AddressSelector(feed, drain, random_source),
        metrics=metrics,
        decisions=DecisionLog(),
        logger=logger,
    )


async def run_entry(settings: ProcessSettings, stop: StopSignal) -> None:
    """Serve callers until the stop signal, then drain and return."""
    feed = StateFeed(settings, _PROGRAM)
    metrics = Metrics()
    permits = ControlPermitSource(feed, metrics)
    logger = create_logger(_PROGRAM)
    components = build_components(
        feed,
        permits,
        metrics,
        logger,
        random.SystemRandom(),
    )
    feed.listeners.append(lambda: set_log_level(feed.view.policy.log_level))
    logger.info('starting', vm=settings.vm_id, port=settings.entry_port)
    try:
        await _serve(components, permits, stop)
    finally:
        with anyio.CancelScope(shield=True):
            await permits.close()
            await components.gather.close()
            await feed.close()
    logger.info('stopped', vm=settings.vm_id)


async def _serve(
    components: EntryComponents,
    permits: BasePermitSource,
    stop: StopSignal,
) -> None:
    drain = components.drain
    settings = components.feed.process
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(components.feed.run)
        tasks.start_soon(permits.run)
        tasks.start_soon(drain.run)
        tasks.start_soon(drain.wait_for_stop_signal, stop)
        await serve_application(
            drain.track(EntryApp(components).build()),
            settings.address,
            settings.entry_port,
            drain.closing,
            _CLOSE_GRACE_S,
        )
        tasks.cancel_scope.cancel()
