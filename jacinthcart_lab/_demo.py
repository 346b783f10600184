"""Demo of a small fleet: every kind of request and a graceful shutdown."""

import hashlib
import itertools
import pathlib
import random
import shutil
import sys
from typing import Any

import anyio
import httpx
from anyio.to_thread import run_sync

from jacinthcart.caller import Answer, Caller, CallerError
from jacinthcart_lab._callers import create_caller
from jacinthcart_lab._deployment import (
    build_fjordsom,
    build_voskovka,
    make_key,
)
from jacinthcart_lab._fleet import Fleet
from jacinthcart_lab._processes import FleetError

_FOLDER = pathlib.Path('run/demo')
_SCALE = 0.3
_VM_COUNT = 3
_GRANTED_KEY = 'sample-key-granted-by-the-demo'
_KEYS_PATH = 'teams/voskovka/keys/kavarna-1'
_WARM_TIMEOUT_S = 30
_STOPPED_VM = 'vm-2'
_INTERVAL_S = 0.05
_DEADLINE_MS = 2000


def run_demo() -> int:
    """Run the demo and return the exit code; a failure prints its reason."""
    shutil.rmtree(_FOLDER, ignore_errors=True)
    fleet = Fleet(
        _FOLDER,
        (build_voskovka(_SCALE), build_fjordsom(_SCALE)),
        _VM_COUNT,
        {'ramp_step_ms': 200, 'drain_announce_ms': 500},
    )
    try:
        _run(fleet)
    except (FleetError, CallerError) as error:
        sys.stderr.write(f'demo failed: {error}\n')
        return 1
    finally:
        fleet.close()
    _print('demo finished')
    return 0


def _run(fleet: Fleet) -> None:
    _print(
        f'starting {_VM_COUNT} VMs and {len(fleet.searcher_specs)} searchers'
    )
    fleet.start()
    fleet.wait_until_ready()
    _grant_key(fleet)
    anyio.run(_query_fleet, fleet)
    for vm_id in fleet.vms_by_id:
        if vm_id != _STOPPED_VM:
            _check_exit_codes(vm_id, fleet.stop_vm(vm_id))


def _grant_key(fleet: Fleet) -> None:
    digests = [
        hashlib.sha256(key.encode()).hexdigest()
        for key in (_GRANTED_KEY, make_key('voskovka', 'kavarna-1'))
    ]
    revision = fleet.emulators.put({_KEYS_PATH: {'sha256_digests': digests}})
    _print(f'granted a key to voskovka/kavarna-1 in revision {revision}')


async def _query_fleet(fleet: Fleet) -> None:
    _print_addresses(fleet)
    voskovka = create_caller(fleet, 'voskovka/kavarna-1', 1, _GRANTED_KEY)
    fjordsom = create_caller(fleet, 'fjordsom/shop-1', 2)
    try:
        await _wait_until_warm(voskovka, fjordsom)
        await _query_once(voskovka, fjordsom)
        await _stop_under_traffic(fleet, voskovka)
    finally:
        await voskovka.close()
        await fjordsom.close()


def _print_addresses(fleet: Fleet) -> None:
    vm = next(iter(fleet.vms_by_id.values()))
    url = f'{vm.entry_url}/v1/addresses?workspace=voskovka/kavarna-1'
    reply = httpx.get(url).raise_for_status().json()
    addresses = [entry['address'] for entry in reply['addresses']]
    _print(f'addresses for {reply["keep_for_ms"]} ms: {addresses}')


async def _wait_until_warm(*callers: Caller) -> None:
    routes = ('voskovka/katalog-search', 'fjordsom/patterns')
    for caller, route in zip(callers, routes, strict=True):
        await _wait_for_complete_answer(caller, route)


async def _wait_for_complete_answer(caller: Caller, route: str) -> None:
    with anyio.move_on_after(_WARM_TIMEOUT_S):
        while not await _is_complete(caller, route):
            await anyio.sleep(_INTERVAL_S)
        return
    raise FleetError(
        f'no complete answer on {route} within {_WARM_TIMEOUT_S} s',
    )


async def _is_complete(caller: Caller, route: str) -> bool:
    try:
        answer = await caller.search(route, {'text': 'blue'}, _DEADLINE_MS)
    except CallerError:
        return False
    return answer.coverage.complete


async def _query_once(voskovka: Caller, fjordsom: Caller) -> None:
    text = {'text': 'blue wrap'}
    item = {'id': 'order-17'}
    deadline = _DEADLINE_MS
    answers = [
        await voskovka.search('voskovka/katalog-search', text, deadline),
        await voskovka.search('voskovka/volunteers', text, deadline),
        await voskovka.lookup('voskovka/order-status', item, deadline),
        await voskovka.submit('voskovka/refill', item, deadline),
        await fjordsom.search('fjordsom/past-orders', text, deadline),
        await fjordsom.lookup('fjordsom/name-check', item, deadline),
        await fjordsom.submit('fjordsom/reorder', item, deadline),
    ]
    for answer in answers:
        _print(
            f'answer: workspace={answer.workspace} '
            f'snapshot={answer.snapshot} coverage={answer.coverage} '
            f'hits={len(answer.hits)}',
        )


async def _stop_under_traffic(fleet: Fleet, caller: Caller) -> None:
    rng = random.Random(1)
    answered: list[Answer] = []
    stop_requested = anyio.Event()

    async def send_requests() -> None:
        for number in itertools.count():
            if stop_requested.is_set():
                return
            query = {'text': f'pattern {number}'}
            answered.append(
                await caller.search(
                    'voskovka/katalog-search',
                    query,
                    _DEADLINE_MS,
                ),
            )
            await anyio.sleep(rng.uniform(0, _INTERVAL_S))

    async with anyio.create_task_group() as tasks:
        for _ in range(2):
            tasks.start_soon(send_requests)
        codes = await run_sync(fleet.stop_vm, _STOPPED_VM)
        _check_exit_codes(_STOPPED_VM, codes)
        stop_requested.set()
    _print(f'{len(answered)} requests answered while {_STOPPED_VM} stopped')


def _check_exit_codes(vm_id: str, codes: list[int]) -> None:
    if any(codes):
        raise FleetError(f'{vm_id} stopped with exit codes {codes}')
    _print(f'{vm_id} stopped gracefully')


def _print(line: Any) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
