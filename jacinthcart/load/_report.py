"""Statistics by phase, workspace and class, as Markdown tables."""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from jacinthcart.load._checks import Violation
from jacinthcart.load._models import Experiment
from jacinthcart.load._results import ANSWERED, RequestResult
from jacinthcart.telemetry import Metrics

_MS_PER_S = 1000
_MAX_LISTED_VIOLATIONS = 20
_HEADER = (
    'phase',
    'workspace',
    'class',
    'requests',
    'answered',
    'refused %',
    'complete %',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'other outcomes',
)


@dataclasses.dataclass(frozen=True)
class RequestStatistics:
    """Statistics of a group of requests."""

    #: Number of scheduled requests.
    requests: int
    #: Number of answered requests.
    answered: int
    #: Number of answers with complete coverage.
    complete: int
    #: Latency quantiles of the answers in milliseconds, 0 without answers.
    p50_ms: float
    p99_ms: float
    p999_ms: float
    #: Number of requests by outcome, for all outcomes but answered.
    failures_by_outcome: dict[str, int]

    @property
    def refused_percent(self) -> float:
        """Percentage of the requests without an answer, for any reason."""
        return _percent(self.requests - self.answered, self.requests)

    @property
    def complete_percent(self) -> float:
        """Percentage of the answers with complete coverage."""
        return _percent(self.complete, self.answered)


def summarize(results: Iterable[RequestResult]) -> RequestStatistics:
    """Compute statistics; latency counts from the scheduled start."""
    metrics = Metrics()
    key = ('latency',)
    outcomes: collections.Counter[str] = collections.Counter()
    complete = 0
    for result in results:
        outcomes[result.outcome] += 1
        if result.answer is not None:
            metrics.record_seconds(key, result.latency_s)
            complete += result.answer.coverage.complete
    p50_ms, p99_ms, p999_ms = (
        (metrics.quantile_seconds(key, quantile) or 0) * _MS_PER_S
        for quantile in (0.5, 0.99, 0.999)
    )
    answered = outcomes.pop(ANSWERED, 0)
    return RequestStatistics(
        answered + outcomes.total(),
        answered,
        complete,
        p50_ms,
        p99_ms,
        p999_ms,
        dict(outcomes),
    )


def group_results(
    results: Iterable[RequestResult],
) -> dict[tuple[str, str, str], list[RequestResult]]:
    """Group the results by phase, workspace and class."""
    groups: dict[tuple[str, str, str], list[RequestResult]] = {}
    for result in results:
        arrival = result.arrival
        key = (
            arrival.phase,
            arrival.workspace.workspace,
            str(arrival.route.request_class),
        )
        groups.setdefault(key, []).append(result)
    return groups


def build_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ['---' for _ in header], *rows]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


def build_report(
    experiment: Experiment,
    results: Sequence[RequestResult],
    violations: Sequence[Violation],
) -> str:
    """Return the report of a run as Markdown."""
    rows = [
        [*key, *_format_statistics(summarize(group))]
        for key, group in group_results(results).items()
    ]
    total = _format_statistics(summarize(results))
    rows.append(['all', 'all', 'all', *total])
    lines = [
        f'# {experiment.name}\n',
        f'Seed {experiment.seed}, {experiment.duration_s:g} s, '
        f'{experiment.rate_per_s:g} requests/s. '
        'Latency is measured from the scheduled start.\n',
        build_table(_HEADER, rows),
        f'Violations: {len(violations)}\n',
    ]
    lines.extend(
        f'* {violation.rule}: {violation.detail}'
        for violation in violations[:_MAX_LISTED_VIOLATIONS]
    )
    return '\n'.join(lines)


def _format_statistics(statistics: RequestStatistics) -> list[str]:
    failures = [
        f'{name} {count}'
        for name, count in sorted(statistics.failures_by_outcome.items())
    ]
    return [
        str(statistics.requests),
        str(statistics.answered),
        f'{statistics.refused_percent:.2f}',
        f'{statistics.complete_percent:.2f}',
        f'{statistics.p50_ms:.1f}',
        f'{statistics.p99_ms:.1f}',
        f'{statistics.p999_ms:.1f}',
        ', '.join(failures),
    ]


def _percent(count: int, total: int) -> float:
    return 100 * count / total if total else 0
