"""Experiment `wrongful-refusals`: all callers of a workspace use one VM."""

import signal
from collections.abc import Iterable

from jacinthcart.load import Phase, RequestResult
from jacinthcart_lab._bench_run import (
    BenchCase,
    BenchFleet,
    ExperimentReport,
    TimedAction,
    describe_violations,
    describe_send_delay,
)

_CALM_S = 6
_SHORT_CALM_S = 2
#: Duration in seconds; the target covers the ten seconds after a VM is lost.
_LOST_S = 10
_SHORT_LOST_S = 2
_DEADLINE_MS = 1000
_PINNED_VM = 'vm-1'
_KILLED_VM = 'vm-3'
_LOADS = (0.8, 0.99)
_OVER_RATE = 'over_rate'
_PERCENT = 100
_HEADER = (
    'load',
    'lending',
    'phase',
    'requests',
    'within the rate',
    'refused at first',
    'refused at first %',
    'refused in the end',
    'refused in the end %',
    'other failures',
)


def run_wrongful_refusals(bench: BenchFleet) -> ExperimentReport:
    """Run with lending and, as the baseline, with static shares."""
    rows: list[list[str]] = []
    cases: list[BenchCase] = []
    for load in _LOADS[: 1 if bench.options.is_short else None]:
        for lending in (True, False):
            bench.put_policy(lending_enabled=lending)
            case = _run_case(bench, load, lending=lending)
            cases.append(case)
            labels = [f'{load:.0%}', 'on' if lending else 'off']
            rows.extend([*labels, *row] for row in _build_rows(bench, case))
            bench.fleet.start_vm(_KILLED_VM)
            bench.fleet.wait_until_ready()
    bench.put_policy()
    return ExperimentReport(
        f'wrongful-refusals, {bench.team.name}',
        _HEADER,
        rows,
        [
            f'{len(bench.fleet.vms_by_id)} VMs, so a lost VM takes a quarter '
            'of the rate',
            describe_violations(cases),
            *map(describe_send_delay, cases),
        ],
    )


def find_within_rate(
    results: Iterable[RequestResult],
    rate: float,
    burst: float,
) -> list[RequestResult]:
    """Return the requests that a single, initially full bucket admits.

    Refusing one of these is wrongful; a request that this ideal bucket
    refuses is over the rate and may be refused.
    """
    tokens = burst
    previous_s = 0.0
    found: list[RequestResult] = []
    for entry in sorted(results, key=lambda one: one.arrival.at_s):
        at_s = entry.arrival.at_s
        tokens = min(burst, tokens + (at_s - previous_s) * rate)
        previous_s = at_s
        if tokens >= 1:
            tokens -= 1
            found.append(entry)
    return found


def _run_case(bench: BenchFleet, load: float, *, lending: bool) -> BenchCase:
    workspace = next(iter(bench.team.limits_by_workspace))
    rate = bench.team.limits_by_workspace[workspace][0]
    lookup = next(one for one in bench.team.routes if one.kind == 'lookup')
    route = bench.build_route(lookup.name, _DEADLINE_MS)
    calm_s = bench.options.choose_duration_s(_CALM_S, _SHORT_CALM_S)
    lost_s = bench.options.choose_duration_s(_LOST_S, _SHORT_LOST_S)

    def kill_vm() -> None:
        bench.fleet.send_signal(_KILLED_VM, signal.SIGKILL)

    return bench.run(
        f'wrongful-refusals-{load}-{"lending" if lending else "static"}',
        [bench.build_load(workspace, route, rate * load, _PINNED_VM)],
        [
            Phase(name='calm', duration_s=calm_s),
            Phase(name='vm lost', duration_s=lost_s),
        ],
        [TimedAction(calm_s, kill_vm)],
    )


def _build_rows(bench: BenchFleet, case: BenchCase) -> list[list[str]]:
    workspace = next(iter(bench.team.limits_by_workspace))
    rate, burst = bench.team.limits_by_workspace[workspace]
    within = find_within_rate(case.results, rate, burst)
    return [
        [phase, *_build_row(case.select(phase), within)]
        for phase in ('calm', 'vm lost')
    ]


def _build_row(
    results: list[RequestResult],
    within: list[RequestResult],
) -> list[str]:
    numbers = {entry.arrival.number for entry in within}
    allowed = [entry for entry in results if entry.arrival.number in numbers]
    at_first = sum(
        any(one.refusal == _OVER_RATE for one in entry.attempts)
        for entry in allowed
    )
    in_the_end = sum(entry.outcome == _OVER_RATE for entry in allowed)
    failed = sum(entry.answer is None for entry in allowed) - in_the_end
    return [
        str(len(results)),
        str(len(allowed)),
        str(at_first),
        _format_percent(at_first, len(allowed)),
        str(in_the_end),
        _format_percent(in_the_end, len(allowed)),
        str(failed),
    ]


def _format_percent(count: int, total: int) -> str:
    return f'{_PERCENT * count / max(1, total):.2f}'
