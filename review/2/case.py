"""One VM after the other runs slowly while a tenant asks beyond its limit."""

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
    Vm,
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
_SEARCHERS = 7
_WORK_S = 0.01
_RATE_PER_S = 40
_BURST = 20
#: The tenant sends several times its rate all the time.
_CALLS_PER_S = 5 * _RATE_PER_S
_BEFORE_S = 8.0
_AFTER_S = 5.0
#: How long each VM is slow, and how it is made to run about three times slower.
_SLOW_S = 5.0
_STOPPED_S = 0.035
_RUNNING_S = 0.015
_PAUSE_S = 2.0
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
    calls: list[asyncio.Task[Call]] = []
    try:
        await deployment.start()
        async with asyncio.TaskGroup() as tasks:
            sending = tasks.create_task(
                _send_calls(deployment, record, calls, tasks)
            )
            await asyncio.sleep(_BEFORE_S)
            for vm in deployment.vms:
                await _run_slowly(vm, record, has_trouble)
                await asyncio.sleep(_PAUSE_S)
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
    tenant = {
        'name': 'mill',
        'api_keys': [_KEY],
        'rate_per_s': _RATE_PER_S,
        'burst': _BURST,
    }
    routes = [create_route(_ROUTE, _SERVICE)]
    store.put('op/config', create_config(3, routes, [_SERVICE], [tenant]))
    return searchers


async def _run_slowly(vm: Vm, record: Record, has_trouble: bool) -> None:
    record.write('slow', vm=vm.address, trouble=int(has_trouble))
    ends_at = time.monotonic() + _SLOW_S
    while time.monotonic() < ends_at:
        if has_trouble:
            vm.stop()
            await asyncio.sleep(_STOPPED_S)
            vm.resume()
        await asyncio.sleep(_RUNNING_S)


async def _send_calls(
    deployment: Deployment,
    record: Record,
    calls: list[asyncio.Task[Call]],
    tasks: asyncio.TaskGroup,
) -> None:
    source = random.Random(1)
    next_at = time.monotonic()
    while True:
        vm = source.choice(deployment.vms)
        request = Request(f'{len(calls):08x}', f'/{_ROUTE}/1', key=_KEY)
        port = deployment.callers_port
        calls.append(tasks.create_task(call(vm.address, port, request, record)))
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
