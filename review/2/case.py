"""All VMs lose power, and those that the seeds name don't come back."""

import asyncio
import pathlib
import random
import time
from typing import Any

from review.kit.caller import Call, Request, call
from review.kit.case import CaseError, run_case
from review.kit.deployment import (
    BOUNDS,
    ZONES,
    Deployment,
    create_config,
    create_route,
)
from review.kit.http import Message
from review.kit.record import Record
from review.kit.searcher import Searcher
from review.kit.store import Store

_SERVICE = 'objednavky'
_ROUTE = 'stav-objednavky'
_KEY = 'key-of-mill'
_VMS = 8
_SEEDS = 3
_SEARCHERS = 7
_WORK_S = 0.01
_RATE_PER_S = 40
_BURST = 20
#: The tenant sends several times its rate all the time.
_CALLS_PER_S = 5 * _RATE_PER_S
_BEFORE_S = 12.0
_OUTAGE_S = 2.0
#: Time for which the list of seeds may be behind.
_SEED_LAG_S = BOUNDS['seed_lag_s']
_AFTER_S = 15.0
_WINDOW_S = BOUNDS['quota_window_s']
_ALLOWED = (_RATE_PER_S * _WINDOW_S + _BURST) * (
    1 + BOUNDS['quota_overage']
) + BOUNDS['quota_slack']


class _TimedSearcher(Searcher):
    """Records when it began to run each request."""

    def __init__(self, *args: Any, **fields: Any) -> None:
        super().__init__(*args, **fields)
        self.run_at_by_request: dict[str, float] = {}

    def run(self, request: Message) -> None:
        super().run(request)
        request_id = request.headers['x-jacinthcart-request-id']
        self.run_at_by_request[request_id] = time.monotonic()


async def _play(
    folder: pathlib.Path, record: Record, has_trouble: bool
) -> list[str]:
    deployment = Deployment(_VMS, folder, record)
    store = Store()
    await store.start(deployment.store_address, deployment.store_port)
    searchers = await _start_searchers(deployment, store, record)
    tenant = {
        'name': 'mill',
        'api_keys': [_KEY],
        'rate_per_s': _RATE_PER_S,
        'burst': _BURST,
    }
    config = create_config(
        3, [create_route(_ROUTE, _SERVICE)], [_SERVICE], [tenant]
    )
    store.put('op/config', config)
    calls: list[asyncio.Task[Call]] = []
    try:
        await deployment.start()
        async with asyncio.TaskGroup() as tasks:
            sending = tasks.create_task(
                _send_calls(deployment, record, calls, tasks)
            )
            await asyncio.sleep(_BEFORE_S)
            if has_trouble:
                await _lose_power(deployment, record)
            await asyncio.sleep(_AFTER_S)
            sending.cancel()
    finally:
        deployment.close()
        store.close()
    ended = [one.result() for one in calls]
    if not any(one.status == 200 for one in ended):
        raise CaseError('no request was served')
    run_at_by_request = {
        request: at
        for searcher in searchers
        for request, at in searcher.run_at_by_request.items()
    }
    return _check(ended, run_at_by_request, record)


async def _start_searchers(
    deployment: Deployment, store: Store, record: Record
) -> list[_TimedSearcher]:
    searchers = []
    for number in range(_SEARCHERS):
        searcher = _TimedSearcher(
            f'i-{number}', _SERVICE, record, work_s=_WORK_S
        )
        await searcher.start(deployment.searcher_address)
        searchers.append(searcher)
        zone = ZONES[number % len(ZONES)]
        store.put(f'servers/i-{number}', searcher.describe(zone))
    return searchers


async def _lose_power(deployment: Deployment, record: Record) -> None:
    record.write('power_lost')
    for vm in deployment.vms:
        vm.kill()
    await asyncio.sleep(_OUTAGE_S)
    returning = deployment.vms[_SEEDS:]
    for vm in returning:
        vm.fields['bootstrap'] = False
        vm.start()
    await asyncio.sleep(_SEED_LAG_S)
    record.write('seeds_current')
    seeds = [
        one.fields['listen_addrs']['control'] for one in returning[:_SEEDS]
    ]
    for vm in returning:
        vm.fields['seeds'] = seeds
        vm.write_settings()


async def _send_calls(
    deployment: Deployment,
    record: Record,
    calls: list[asyncio.Task[Call]],
    tasks: asyncio.TaskGroup,
) -> None:
    source = random.Random(1)
    next_at = time.monotonic()
    while True:
        running = [vm for vm in deployment.vms if vm.return_code is None]
        if running:
            vm = source.choice(running)
            request = Request(f'{len(calls):08x}', f'/{_ROUTE}/1', key=_KEY)
            port = deployment.callers_port
            calls.append(
                tasks.create_task(call(vm.address, port, request, record))
            )
        next_at += source.expovariate(_CALLS_PER_S)
        await asyncio.sleep(max(0, next_at - time.monotonic()))


def _check(
    calls: list[Call], run_at_by_request: dict[str, float], record: Record
) -> list[str]:
    sent_at_by_request = {one.request_id: one.sent_at for one in calls}
    runs = sorted(
        (run_at, sent_at_by_request[request])
        for request, run_at in run_at_by_request.items()
    )
    worst = 0
    worst_at = 0.0
    for run_at, _ in runs:
        count = sum(
            sent_at > run_at - _WINDOW_S
            for other_at, sent_at in runs
            if run_at - _WINDOW_S < other_at <= run_at
        )
        if count > worst:
            worst, worst_at = count, run_at
    record.write('worst_window', runs=worst, allowed=_ALLOWED)
    if worst <= _ALLOWED:
        return []
    start_s = worst_at - runs[0][0] - _WINDOW_S
    return [
        f'QUOTA: {worst} requests of one tenant ran in {_WINDOW_S} s, allowed '
        f'are {_ALLOWED:g}; the window begins {start_s:.1f} s after the '
        'first run'
    ]


if __name__ == '__main__':
    run_case(_play, pathlib.Path(__file__).parent)
