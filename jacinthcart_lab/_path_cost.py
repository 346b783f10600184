"""Latency and CPU time by program of a query to many searchers."""

import dataclasses
import os
import pathlib
import random
import time

import anyio

from jacinthcart.caller import Caller, CallerError
from jacinthcart.telemetry import Metrics
from jacinthcart_lab._callers import create_caller
from jacinthcart_lab._deployment import RouteSpec, ServiceSpec, TeamSpec
from jacinthcart_lab._fleet import Fleet
from jacinthcart_lab._processes import FleetError

_ROUTE = 'bench/search'
_CALLERS = 8
_DEADLINE_MS = 2000
_WARM_TIMEOUT_S = 30
_METRIC_KEY = ('caller', 'search')
_MS_PER_S = 1000
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


@dataclasses.dataclass(frozen=True)
class PathCost:
    """Cost of a query; all times are in milliseconds."""

    #: Number of searchers that each query calls.
    searchers: int
    #: Number of measured queries.
    queries: int
    #: Median latency measured by the caller.
    p50_ms: float
    #: 99th percentile of the latency measured by the caller.
    p99_ms: float
    #: Mean CPU time of a query by program, summed over all VMs.
    cpu_ms_by_program: dict[str, float]


def build_bench_team(searchers: int) -> TeamSpec:
    """Return a team with one route, which calls `searchers` searchers."""
    return TeamSpec(
        name='bench',
        data_centres=('dc-1', 'dc-2'),
        services=(ServiceSpec('index', searchers, 1, 6, 60, 1, 2),),
        routes=(RouteSpec('search', 'search', 'index', 'priority'),),
        limits_by_workspace={'one': (5000.0, 5000.0)},
    )


def measure_path_cost(
    folder: pathlib.Path,
    searchers: int,
    queries: int,
    rate: float,
    vm_count: int = 2,
) -> PathCost:
    """Measure `queries` queries, sent open loop at `rate` per second."""
    team = build_bench_team(searchers)
    fleet = Fleet(folder, (team,), vm_count, {'ramp_step_ms': 50})
    try:
        fleet.start()
        fleet.wait_until_ready()
        return anyio.run(_measure, fleet, searchers, queries, rate)
    finally:
        fleet.close()


def read_cpu_s(pid: int) -> float:
    """Return the CPU time in seconds that a process has used."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_S


def read_cpu_by_program(fleet: Fleet) -> dict[str, float]:
    """Return the CPU time in seconds by program, summed over VMs."""
    used: dict[str, float] = {}
    for vm in fleet.vms_by_id.values():
        for program, process in vm.processes_by_program.items():
            seconds = read_cpu_s(process.pid)
            used[program] = used.get(program, 0) + seconds
    return used


async def wait_until_complete(caller: Caller, route: str) -> None:
    """Search until an answer is complete; raise FleetError on timeout."""
    with anyio.move_on_after(_WARM_TIMEOUT_S):
        while True:
            try:
                answer = await caller.search(route, {'text': 'x'}, _DEADLINE_MS)
            except CallerError:
                await anyio.sleep(0.05)
                continue
            if answer.coverage.complete:
                return
    raise FleetError(
        f'no complete answer on {route} within {_WARM_TIMEOUT_S} s',
    )


async def _measure(
    fleet: Fleet,
    searchers: int,
    queries: int,
    rate: float,
) -> PathCost:
    # A caller always uses the first address of its list, so a single caller
    # would send every query to the same VM.
    callers = [
        create_caller(fleet, 'bench/one', seed) for seed in range(_CALLERS)
    ]
    metrics = Metrics()
    for caller in callers:
        await wait_until_complete(caller, _ROUTE)

    async def send_query(number: int) -> None:
        started = time.perf_counter()
        query = {'text': f'query {number}'}
        caller = callers[number % _CALLERS]
        await caller.search(_ROUTE, query, _DEADLINE_MS)
        metrics.record_seconds(_METRIC_KEY, time.perf_counter() - started)

    before = read_cpu_by_program(fleet)
    rng = random.Random(1)
    async with anyio.create_task_group() as tasks:
        for number in range(queries):
            tasks.start_soon(send_query, number)
            await anyio.sleep(rng.expovariate(rate))
    after = read_cpu_by_program(fleet)
    for used in callers:
        await used.close()
    return PathCost(
        searchers,
        queries,
        _quantile_ms(metrics, 0.5),
        _quantile_ms(metrics, 0.99),
        {
            program: (after[program] - before[program]) / queries * _MS_PER_S
            for program in after
        },
    )


def _quantile_ms(metrics: Metrics, quantile: float) -> float:
    return (metrics.quantile_seconds(_METRIC_KEY, quantile) or 0) * _MS_PER_S
