"""A VM is stopped while it runs requests that it took late."""

import asyncio
import pathlib
import signal
import time

from review.kit.caller import Call, Request, call
from review.kit.case import CaseError, run_case
from review.kit.deployment import (
    ZONES,
    Deployment,
    create_config,
    create_route,
)
from review.kit.record import Record
from review.kit.searcher import Searcher
from review.kit.store import Store

_SERVICE = 'restock'
_ROUTE = 'reorder-fetch'
_KEY = 'key-of-mill'
#: Longest work of a request to this service on the sheet is 1,300 ms.
_WORK_S = 1.2
_SEARCHERS = 3
_SLOTS = 3
_DEADLINE_MS = 5000
_GRACE_S = 6.0
#: Time in seconds after SIGTERM at which callers that still hold the VM's
#: address send requests. Requests up to 3 s after it may be cut.
_SENT_AFTER_S = 3.4
#: Twice as many requests as the searchers run at a time: half of them wait.
_REQUESTS = 2 * _SEARCHERS * _SLOTS
_ROUNDS = 4


async def _play(
    folder: pathlib.Path, record: Record, has_trouble: bool
) -> list[str]:
    deployment = Deployment(2, folder, record)
    store = Store()
    await store.start(deployment.store_address, deployment.store_port)
    searchers = []
    for number in range(_SEARCHERS):
        searcher = Searcher(
            f'i-{number}', _SERVICE, record, slots=_SLOTS, work_s=_WORK_S
        )
        await searcher.start(deployment.searcher_address)
        searchers.append(searcher)
        store.put(f'servers/i-{number}', searcher.describe(ZONES[number]))
    tenant = {'name': 'mill', 'api_keys': [_KEY], 'rate_per_s': 0, 'burst': 0}
    route = create_route(_ROUTE, _SERVICE, timeout_ms=_DEADLINE_MS)
    store.put('op/config', create_config(3, [route], [_SERVICE], [tenant]))
    violations = []
    try:
        await deployment.start()
        await asyncio.sleep(4)
        for number in range(_ROUNDS):
            violations.extend(
                await _stop_once(deployment, searchers, record, number)
                if has_trouble
                else await _send(deployment, searchers, record, number, 0)
            )
    finally:
        deployment.close()
        store.close()
    if not any(searcher.runs for searcher in searchers):
        raise CaseError('no request was run')
    return violations


async def _stop_once(
    deployment: Deployment,
    searchers: list[Searcher],
    record: Record,
    number: int,
) -> list[str]:
    vm = deployment.vms[1]
    stopped_at = time.monotonic()
    vm.send_signal(signal.SIGTERM)
    violations = await _send(deployment, searchers, record, number, stopped_at)
    await asyncio.sleep(max(0, stopped_at + _GRACE_S - time.monotonic()))
    if vm.return_code is None:
        record.write('killed', vm=vm.address)
    vm.kill()
    vm.start()
    await vm.wait_until_ready()
    await asyncio.sleep(4)
    return violations


async def _send(
    deployment: Deployment,
    searchers: list[Searcher],
    record: Record,
    number: int,
    stopped_at: float,
) -> list[str]:
    started_at = stopped_at or time.monotonic()
    calls = await asyncio.gather(
        *(
            _send_at(
                deployment,
                record,
                f'{number:04x}{index:04x}',
                started_at + _SENT_AFTER_S,
            )
            for index in range(_REQUESTS)
        )
    )
    runs = {run for searcher in searchers for run in searcher.runs}
    return [
        f'LOST: {one.request_id}, sent {one.sent_at - started_at:.2f} s after '
        f'SIGTERM and passed on to a searcher, ended without an answer '
        f'{one.ended_at - started_at:.2f} s after SIGTERM: {one.error}'
        for one in calls
        if one.status is None and one.request_id in runs
    ]


async def _send_at(
    deployment: Deployment,
    record: Record,
    request_id: str,
    at: float,
) -> Call:
    await asyncio.sleep(max(0, at - time.monotonic()))
    request = Request(
        request_id,
        f'/{_ROUTE}/1',
        key=_KEY,
        deadline_ms=_DEADLINE_MS,
    )
    address = deployment.vms[1].address
    return await call(address, deployment.callers_port, request, record)


if __name__ == '__main__':
    run_case(_play, pathlib.Path(__file__).parent)
