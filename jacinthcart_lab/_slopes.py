"""Growth of costs with size on one machine, for docs/CAPACITY.md."""

import dataclasses
import itertools
import os
import pathlib
import time
from collections.abc import Callable
from typing import Any

import orjson
import xxhash

from jacinthcart.ownership import find_part_owners, find_token_owners
from jacinthcart.settings import (
    RosterEntry,
    Service,
    SettingsStore,
    SettingsValue,
)

ROSTER_SIZES = (8, 64, 265, 530)
_REPLICAS = 4
_US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True)
class SlopePoint:
    """Value of one measure at one size."""

    #: What was measured, with its unit.
    measure: str
    #: Size that was varied, with its unit.
    varied: str
    #: Value of the size.
    size: float
    #: Measured value.
    result: float


@dataclasses.dataclass(frozen=True)
class Fit:
    """Least-squares line through the points of one measure."""

    #: What was measured, with its unit.
    measure: str
    #: Size that was varied, with its unit.
    varied: str
    #: Value at size 0.
    intercept: float
    #: Increase for each unit of size.
    slope: float


def build_roster(count: int) -> dict[str, Any]:
    """Return a roster value of `count` VMs in 9 data centres, 3 regions."""
    vms = {}
    for number in range(count):
        entry = RosterEntry(
            address=f'127.1.{number // 250}.{number % 250 + 1}',
            data_centre=f'dc-{number % 9}',
            region=f'region-{number % 3}',
            entry_port=24000,
            gather_port=24001,
            control_port=24002,
            admin_port=24003,
        )
        vms[f'vm-{number}'] = entry.model_dump()
    return {'vms_by_id': vms}


def build_large_service(parts: int) -> dict[str, Any]:
    """Return a service value with `parts` parts of 4 replicas."""
    ports = itertools.count(1)
    return {
        'parts_by_name': {
            f'part-{part}': {
                'shards': [part],
                'searchers_by_id': {
                    f'searcher-{part}-{replica}': {
                        'address': '127.0.0.1',
                        'port': next(ports),
                        'data_centre': f'dc-{(part + replica) % 9}',
                    }
                    for replica in range(_REPLICAS)
                },
            }
            for part in range(parts)
        },
        'index_versions': [1],
        'slots': 6,
        'connection_limit': 25,
    }


def measure_ownership() -> list[SlopePoint]:
    """Return the CPU time to rank the owners of a part by roster size."""
    service = Service.model_validate(build_large_service(1))
    points = []
    for size in ROSTER_SIZES:
        vm_ids = [f'vm-{number}' for number in range(size)]

        def rank_part(vm_ids: list[str] = vm_ids) -> None:
            find_part_owners('team/index', 'part-1', service, vm_ids)

        points.append(
            SlopePoint(
                'rank the owners of one part, us',
                'VMs in the roster',
                size,
                time_call(rank_part, 200),
            ),
        )
    return points


def measure_settings() -> list[SlopePoint]:
    """Return the CPU time to apply a changed settings value by its size."""
    points = []
    for parts in (10, 50, 200, 550):
        value = build_large_service(parts)
        path = 'teams/bench/services/index'
        store = SettingsStore()
        revisions = itertools.count(1)

        def apply(
            store: SettingsStore = store,
            value: dict[str, Any] = value,
        ) -> None:
            revision = next(revisions)
            store.apply({path: SettingsValue(revision, value)}, revision)

        points.append(
            SlopePoint(
                'put one service value in force, us',
                'kilobytes of the value',
                len(orjson.dumps(value)) / 1000,
                time_call(apply, 10),
            ),
        )
    return points


def measure_token_owners() -> list[SlopePoint]:
    """Return the CPU time to rank a workspace's owners by roster size."""
    points = []
    for size in ROSTER_SIZES:
        vm_ids = [f'vm-{number}' for number in range(size)]

        def rank_tokens(vm_ids: list[str] = vm_ids) -> None:
            find_token_owners('team/workspace', vm_ids, 8)

        points.append(
            SlopePoint(
                'rank the owners of one workspace, us',
                'VMs in the roster',
                size,
                time_call(rank_tokens, 200),
            ),
        )
    return points


def measure_serialization() -> list[SlopePoint]:
    """Return the CPU time to encode and digest a warm table by its size."""
    points = []
    for size in (100, 500, 1100, 2200):
        table = {
            f'searcher-{number}': {
                'incident': 1,
                'warm': True,
                'generation': f'{number:08x}',
            }
            for number in range(size)
        }

        def digest(table: dict[str, Any] = table) -> None:
            xxhash.xxh64_hexdigest(orjson.dumps(sorted(table.items())))

        points.append(
            SlopePoint(
                'digest a warm table, us',
                'searchers',
                size,
                time_call(digest, 50),
            ),
        )
    return points


def time_call(call: Callable[[], None], repeats: int) -> float:
    """Return the mean CPU time of one call in microseconds.

    The first call is not measured.
    """
    call()
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats * _US_PER_S


def fit_lines(points: list[SlopePoint]) -> list[Fit]:
    """Return one least-squares line for each measure."""
    fits = []
    measures = dict.fromkeys((p.measure, p.varied) for p in points)
    for measure, varied in measures:
        chosen = [p for p in points if p.measure == measure]
        fits.append(_fit_line(measure, varied, chosen))
    return fits


def read_rss_mb(pid: int | None = None) -> float:
    """Return the resident memory of a process in megabytes.

    `pid` defaults to this process.
    """
    stat = pathlib.Path(f'/proc/{pid or os.getpid()}/statm').read_text()
    pages = int(stat.split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1_000_000


def _fit_line(
    measure: str,
    varied: str,
    points: list[SlopePoint],
) -> Fit:
    mean_size = sum(point.size for point in points) / len(points)
    mean_result = sum(point.result for point in points) / len(points)
    sum_of_squares = sum((point.size - mean_size) ** 2 for point in points)
    sum_of_products = sum(
        (point.size - mean_size) * (point.result - mean_result)
        for point in points
    )
    slope = sum_of_products / sum_of_squares if sum_of_squares else 0
    return Fit(measure, varied, mean_result - slope * mean_size, slope)
