"""Experiment `fairness`: one workspace sends five times its rate."""

from jacinthcart.load import Phase, summarize
from jacinthcart_lab._bench_run import (
    BenchFleet,
    ExperimentReport,
    describe_violations,
    describe_send_delay,
)

_FULL_S = 15
_SHORT_S = 3
#: Requests per second of each workspace in the calm phase. The fourth
#: workspace, whose rate is 8, is the noisy one.
_RATES = (12.0, 8.0, 6.0, 4.0, 3.0)
_NOISY_INDEX = 3
#: The calm load is half the rate, so this yields five times the rate.
_NOISY_FACTOR = 10
_DEADLINE_MS = 1000
_HEADER = (
    'workspace',
    'phase',
    'requests',
    'refused or failed %',
    'complete %',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'failures',
)


def run_fairness(bench: BenchFleet) -> ExperimentReport:
    """Run a calm phase as the baseline, then one with the noisy workspace."""
    search = next(one for one in bench.team.routes if one.kind == 'search')
    route = bench.build_route(search.name, _DEADLINE_MS)
    loads = [
        bench.build_load(workspace, route, rate)
        for workspace, rate in zip(
            bench.team.limits_by_workspace,
            _RATES,
            strict=False,
        )
    ]
    noisy = loads[_NOISY_INDEX].workspace
    duration_s = bench.options.choose_duration_s(_FULL_S, _SHORT_S)
    case = bench.run(
        'fairness',
        loads,
        [
            Phase(name='calm', duration_s=duration_s),
            Phase(
                name='noisy',
                duration_s=duration_s,
                factor_by_workspace={noisy: _NOISY_FACTOR},
            ),
        ],
    )
    groups = {load.workspace: [load.workspace] for load in loads}
    groups['all but the noisy'] = [name for name in groups if name != noisy]
    rows: list[list[str]] = []
    for name, workspaces in groups.items():
        label = f'{name} (noisy)' if name == noisy else name
        for phase in ('calm', 'noisy'):
            statistics = summarize(case.select(phase, workspaces))
            rows.append(
                [
                    label,
                    phase,
                    str(statistics.requests),
                    f'{statistics.refused_percent:.2f}',
                    f'{statistics.complete_percent:.2f}',
                    f'{statistics.p50_ms:.1f}',
                    f'{statistics.p99_ms:.1f}',
                    f'{statistics.p999_ms:.1f}',
                    str(statistics.failures_by_outcome or ''),
                ],
            )
    return ExperimentReport(
        f'fairness, {bench.team.name}',
        _HEADER,
        rows,
        [describe_violations([case]), describe_send_delay(case)],
    )
