"""Runs the experiments sequentially and prints their tables."""

import dataclasses
import pathlib
import sys
import time
import types
from collections.abc import Callable, Mapping

from jacinthcart.load import build_table
from jacinthcart_lab._bench_run import (
    SCALE,
    BenchFleet,
    BenchOptions,
    ExperimentReport,
    describe_load,
    open_fleet,
)
from jacinthcart_lab._capacity import measure_capacity, plot_points
from jacinthcart_lab._client_cost import measure_client_costs
from jacinthcart_lab._cold import run_cold
from jacinthcart_lab._data_centre import run_data_centre
from jacinthcart_lab._deployment import (
    TeamSpec,
    build_fjordsom,
    build_voskovka,
)
from jacinthcart_lab._fairness import run_fairness
from jacinthcart_lab._path_cost import measure_path_cost
from jacinthcart_lab._tail import run_tail
from jacinthcart_lab._wrongful_refusals import run_wrongful_refusals
from jacinthcart_lab.limits_experiment import (
    LimitsExperiment,
    LimitsResult,
    run_limits_experiment,
)

_FOLDER = pathlib.Path('run/bench')
_PATH_SEARCHERS = 30
#: Queries per second.
_PATH_RATE = 10

EXPERIMENTS_BY_NAME: Mapping[
    str,
    Callable[[BenchFleet], ExperimentReport],
] = types.MappingProxyType(
    {
        'tail': run_tail,
        'wrongful-refusals': run_wrongful_refusals,
        'cold': run_cold,
        'fairness': run_fairness,
        'data-centre': run_data_centre,
    },
)
#: Cost measurements and the simulated rate limiter (`limits`); they do not use
#: the load generator.
COSTS = ('limits', 'clients', 'path')
#: Growth of costs with size, for docs/CAPACITY.md; short runs skip it.
CAPACITY = 'capacity'
NAMES = (*EXPERIMENTS_BY_NAME, *COSTS, CAPACITY)


def run_bench(seed: int, only: str | None, *, is_short: bool) -> None:
    """Run all experiments or `only` one; print and save the tables."""
    folder = _FOLDER / time.strftime('%Y%m%d-%H%M%S')
    options = BenchOptions(folder, seed, is_short)
    chosen = [only] if only else list(NAMES)
    experiments = [name for name in chosen if name in EXPERIMENTS_BY_NAME]
    if is_short and experiments:
        # Share one fleet: its start takes longer than a short experiment.
        _run_on_fleet(options, build_voskovka(SCALE), experiments)
    else:
        for name in experiments:
            _run_on_fleet(options, build_voskovka(SCALE), [name])
            _run_on_fleet(options, build_fjordsom(SCALE), [name])
    for cost in COSTS:
        if cost in chosen:
            _publish(folder, _measure_cost(options, cost))
    if CAPACITY in chosen and not is_short:
        _publish_capacity(folder)


def _publish_capacity(folder: pathlib.Path) -> None:
    before = describe_load()
    tables, points = measure_capacity(folder)
    plot_points(points, folder / 'capacity.svg')
    notes = f'load average: {before} before, {describe_load()} after'
    text = f'## capacity\n\n{tables}\n\n{notes}\n'
    sys.stdout.write(text)
    (folder / 'capacity.md').write_text(text)


def _run_on_fleet(
    options: BenchOptions,
    team: TeamSpec,
    names: list[str],
) -> None:
    with open_fleet(options, names[0], team) as bench:
        for name in names:
            before = describe_load()
            report = EXPERIMENTS_BY_NAME[name](bench)
            report.notes.append(f'load average before: {before}')
            _publish(options.folder, report)


def _simulate_limits(options: BenchOptions) -> ExperimentReport:
    """Simulate the rate limiter of eight VMs in virtual time."""
    rows: list[list[str]] = []
    for load in (0.8, 0.99):
        for lending in (True, False):
            limits_result = run_limits_experiment(
                LimitsExperiment(
                    options.seed,
                    load=load,
                    lending_enabled=lending,
                ),
            )
            row = list(
                map(_format_four_decimals, dataclasses.astuple(limits_result))
            )
            rows.append([f'{load:.0%}', 'on' if lending else 'off', *row])
    header = [field.name for field in dataclasses.fields(LimitsResult)]
    return ExperimentReport(
        'limits in virtual time, 8 VMs',
        ['load', 'lending', *header],
        rows,
        ['the columns named refused are fractions of the requests'],
    )


def _measure_cost(options: BenchOptions, name: str) -> ExperimentReport:
    if name == 'limits':
        return _simulate_limits(options)
    queries = int(options.choose_duration_s(200, 20))
    if name == 'clients':
        costs = measure_client_costs(options.folder / name, queries)
        rows = [
            list(map(_format_two_decimals, dataclasses.astuple(one)))
            for one in costs
        ]
        fields = dataclasses.fields(costs[0])
        header = [field.name for field in fields]
        return ExperimentReport('clients', header, rows, [])
    cost = measure_path_cost(
        options.folder / name,
        _PATH_SEARCHERS,
        queries,
        _PATH_RATE,
    )
    columns = dataclasses.asdict(cost)
    columns.update(columns.pop('cpu_ms_by_program'))
    row = [_format_two_decimals(number) for number in columns.values()]
    notes = ['the columns named after programs are CPU ms a query']
    return ExperimentReport('path', list(columns), [row], notes)


def _publish(folder: pathlib.Path, report: ExperimentReport) -> None:
    notes = [*report.notes, f'load average after: {describe_load()}']
    lines = ''.join(f'* {note}\n' for note in notes)
    table = build_table(report.header, report.rows)
    text = f'## {report.title}\n\n{table}\n{lines}\n'
    sys.stdout.write(text)
    sys.stdout.flush()
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / 'report.md').open('a') as file:
        file.write(text)


def _format_four_decimals(number: object) -> str:
    return f'{number:.4f}' if isinstance(number, float) else str(number)


def _format_two_decimals(number: object) -> str:
    return f'{number:.2f}' if isinstance(number, float) else str(number)
