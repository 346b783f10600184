"""Experiment `cold`: searchers turn cold under load without reporting it."""

from collections.abc import Iterable

from jacinthcart.load import Phase, RequestResult, summarize
from jacinthcart_lab._bench_run import (
    VM_COUNT,
    BenchCase,
    BenchFleet,
    ExperimentReport,
    TimedAction,
    describe_violations,
    describe_send_delay,
)

_CALM_S = 8
_SHORT_CALM_S = 2
_FAULT_S = 12
_SHORT_FAULT_S = 4
_RATES = (15.0, 10.0, 5.0)
_MS_PER_S = 1000
_CONNECTIONS_PER_OWNER = 2
_HEADER = (
    'phase',
    'requests',
    'refused or failed %',
    'complete %',
    'p50 ms',
    'p99 ms',
    'last incomplete ms after the fault',
    'searchers cold',
    'max cold concurrency',
    'cold overruns',
    'still cold at the end',
)


class _ColdFault:
    """Turns searchers cold and reads their counters."""

    def __init__(self, bench: BenchFleet, searchers: list[str]) -> None:
        self.searchers = searchers
        self._bench = bench

    def start(self) -> None:
        """Turn the searchers cold; their reported load and state stay warm."""
        for searcher in self.searchers:
            self._bench.fleet.emulators.set_searcher_fault(
                searcher,
                cold=True,
                hide_state=True,
            )

    def describe(self) -> list[str]:
        """Return the load on the cold searchers since the fleet started."""
        counts = self._bench.fleet.emulators.read_searcher_counts()
        chosen = [counts[searcher] for searcher in self.searchers]
        return [
            str(len(chosen)),
            str(max(one.get('max_cold_concurrency', 0) for one in chosen)),
            str(sum(one.get('cold_overruns', 0) for one in chosen)),
            str(sum(one['is_cold'] for one in chosen)),
        ]


def run_cold(bench: BenchFleet) -> ExperimentReport:
    """Run a calm phase, one with a cold part, one with a cold data centre."""
    search = next(one for one in bench.team.routes if one.kind == 'search')
    centre = bench.team.data_centres[0]
    part = _ColdFault(
        bench,
        bench.list_searchers(part=(search.service, 'part-0')),
    )
    others = set(bench.list_searchers(data_centre=centre)) - set(
        part.searchers,
    )
    data_centre = _ColdFault(bench, sorted(others))
    calm_s = bench.options.choose_duration_s(_CALM_S, _SHORT_CALM_S)
    fault_s = bench.options.choose_duration_s(_FAULT_S, _SHORT_FAULT_S)
    route = bench.build_route(search.name)
    case = bench.run(
        'cold',
        [
            bench.build_load(workspace, route, rate)
            for workspace, rate in zip(
                bench.team.limits_by_workspace,
                _RATES,
                strict=False,
            )
        ],
        [
            Phase(name='calm', duration_s=calm_s),
            Phase(name='part cold', duration_s=fault_s),
            Phase(name='data centre cold', duration_s=fault_s),
        ],
        [
            TimedAction(calm_s, part.start),
            TimedAction(calm_s + fault_s, data_centre.start),
        ],
    )
    rows = [['calm', *_build_row(case, 'calm'), '0', '', '', '']]
    for phase, fault in (
        ('part cold', part),
        ('data centre cold', data_centre),
    ):
        rows.append([phase, *_build_row(case, phase), *fault.describe()])
    bound = VM_COUNT * _CONNECTIONS_PER_OWNER
    return ExperimentReport(
        f'cold, {bench.team.name}',
        _HEADER,
        rows,
        [
            'requests sent before a cold searcher is detected cannot be '
            f'avoided: at most owners times connections, {bound} for one '
            'searcher; the counters cover the time since the start of the '
            'fleet, which is one cold start of each searcher',
            f'searchers of {centre} that the part row includes are left out '
            'of the data centre row',
            describe_violations([case]),
            describe_send_delay(case),
        ],
    )


def compute_last_incomplete_ms(results: Iterable[RequestResult]) -> float:
    """Return the arrival time of the last request without full coverage.

    In milliseconds after the first arrival; 0 if all are complete.
    """
    ordered = sorted(results, key=lambda entry: entry.arrival.at_s)
    incomplete = [
        entry.arrival.at_s
        for entry in ordered
        if entry.answer is None or not entry.answer.coverage.complete
    ]
    if not incomplete:
        return 0
    return (incomplete[-1] - ordered[0].arrival.at_s) * _MS_PER_S


def _build_row(case: BenchCase, phase: str) -> list[str]:
    results = case.select(phase)
    statistics = summarize(results)
    return [
        str(statistics.requests),
        f'{statistics.refused_percent:.2f}',
        f'{statistics.complete_percent:.2f}',
        f'{statistics.p50_ms:.1f}',
        f'{statistics.p99_ms:.1f}',
        f'{compute_last_incomplete_ms(results):.0f}',
    ]
