"""CPU cost of a searcher call with each HTTP client, in the same run."""

import dataclasses
import itertools
import os
import pathlib
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import httpx

from jacinthcart.wire import ConnectionPool, encode_json
from jacinthcart_emulator import SearcherSpec
from jacinthcart_lab._emulators import Emulators

SEARCHERS = 30
_ADDRESS = '127.0.2.2'
_US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True)
class ClientCost:
    """Cost of searcher calls with one HTTP client."""

    #: Client name.
    client: str
    #: Number of calls.
    calls: int
    #: Mean CPU time of this process per call, in microseconds.
    cpu_us: float
    #: Mean time of one fan-out to every searcher, in milliseconds.
    fan_out_ms: float


Call = Callable[[SearcherSpec, bytes], Coroutine[Any, Any, None]]


def measure_client_costs(
    folder: pathlib.Path,
    queries: int,
) -> list[ClientCost]:
    """Fan out `queries` queries to `SEARCHERS` searchers with each client."""
    folder.mkdir(parents=True, exist_ok=True)
    ports = itertools.count(23000)
    specs = [
        SearcherSpec(
            id=f'searcher-{number}',
            address=_ADDRESS,
            port=next(ports),
            shards=(number,),
            service_ms=0,
            connection_limit=100,
        )
        for number in range(SEARCHERS)
    ]
    emulators = Emulators(folder, ports)
    try:
        emulators.start(specs)
        return anyio.run(_measure_all, specs, queries)
    finally:
        emulators.close()


async def _measure_all(
    specs: list[SearcherSpec],
    queries: int,
) -> list[ClientCost]:
    pools = {
        spec.id: ConnectionPool(spec.address, spec.port, limit=2)
        for spec in specs
    }

    async def call_with_h11(spec: SearcherSpec, body: bytes) -> None:
        await pools[spec.id].call('POST', '/v1/search', body)

    costs = [await _measure('h11', call_with_h11, specs, queries)]
    for pool in pools.values():
        await pool.close()
    async with httpx.AsyncClient() as client:

        async def call_with_httpx(spec: SearcherSpec, body: bytes) -> None:
            url = f'http://{spec.address}:{spec.port}/v1/search'
            await client.post(url, content=body)

        costs.append(await _measure('httpx', call_with_httpx, specs, queries))
    return costs


async def _measure(
    name: str,
    call: Call,
    specs: list[SearcherSpec],
    queries: int,
) -> ClientCost:
    await _fan_out(call, specs, 0)
    started = time.perf_counter()
    cpu_before_s = _read_cpu_s()
    for number in range(1, queries + 1):
        await _fan_out(call, specs, number)
    elapsed_s = time.perf_counter() - started
    calls = queries * len(specs)
    return ClientCost(
        name,
        calls,
        (_read_cpu_s() - cpu_before_s) / calls * _US_PER_S,
        elapsed_s / queries * 1000,
    )


async def _fan_out(
    call: Call,
    specs: list[SearcherSpec],
    number: int,
) -> None:
    async with anyio.create_task_group() as tasks:
        for spec in specs:
            message = {
                'sub_id': f'{number}/{spec.id}',
                'request_id': str(number),
                'index_version': 1,
                'partition_map': 1,
                'shards': list(spec.shards),
                'query': {'text': 'blue wrap'},
                'submit': False,
            }
            tasks.start_soon(call, spec, encode_json(message))


def _read_cpu_s() -> float:
    times = os.times()
    return times.user + times.system
