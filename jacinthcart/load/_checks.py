"""Checks of invariants that are observable by a caller."""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Sequence

from jacinthcart.caller import Answer
from jacinthcart.load._arrivals import Arrival
from jacinthcart.load._models import WorkspaceLoad
from jacinthcart.load._results import RequestResult
from jacinthcart.load._window import find_excess
from jacinthcart.settings import RouteKind

#: Returns descriptions of the errors in the content of an answer.
AnswerChecker = Callable[[Arrival, Answer], list[str]]


@dataclasses.dataclass(frozen=True)
class Violation:
    """An observed violation of a rule."""

    #: Name of the rule.
    rule: str
    #: Description of the violation.
    detail: str


def accept_every_answer(arrival: Arrival, answer: Answer) -> list[str]:
    """Accept any answer; judging hits requires a model of the index."""
    return []


def find_violations(
    results: Sequence[RequestResult],
    check_answer: AnswerChecker,
) -> list[Violation]:
    """Return all violations found in the results."""
    violations: list[Violation] = []
    for result in results:
        if result.answer is not None:
            found = find_answer_violations(result.arrival, result.answer)
            wrong = check_answer(result.arrival, result.answer)
            found.extend(Violation('right_answer', detail) for detail in wrong)
            violations.extend(
                Violation(
                    violation.rule,
                    f'{result.arrival.number}: {violation.detail}',
                )
                for violation in found
            )
    violations.extend(find_repeated_submits(results))
    violations.extend(find_rate_violations(results))
    return violations


def find_answer_violations(arrival: Arrival, answer: Answer) -> list[Violation]:
    """Return the violations found in a single answer."""
    violations: list[Violation] = []
    if answer.workspace != arrival.workspace.workspace:
        violations.append(Violation('own_answer', f'is for {answer.workspace}'))
    versions = {
        hit['index_version'] for hit in answer.hits if 'index_version' in hit
    }
    if versions - {answer.snapshot.index_version}:
        violations.append(
            Violation('one_snapshot', f'hits of versions {versions}')
        )
    detail = _find_coverage_error(answer)
    if detail:
        violations.append(Violation('true_coverage', detail))
    return violations


def find_repeated_submits(results: Iterable[RequestResult]) -> list[Violation]:
    """Return a violation for each submit answered more than once."""
    answers = collections.Counter(
        result.answer.request_id
        for result in results
        if result.answer is not None
        and result.arrival.route.kind is RouteKind.SUBMIT
    )
    return [
        Violation('submit_once', f'{request_id} answered {count} times')
        for request_id, count in answers.items()
        if count > 1
    ]


def find_rate_violations(results: Iterable[RequestResult]) -> list[Violation]:
    """Return a violation for each workspace that exceeds its limit."""
    spans_by_workspace: dict[str, list[tuple[float, float]]] = {}
    load_by_workspace: dict[str, WorkspaceLoad] = {}
    for result in results:
        load = result.arrival.workspace
        load_by_workspace[load.workspace] = load
        if result.answer is not None:
            spans_by_workspace.setdefault(load.workspace, []).append(
                (result.sent_s, result.received_s),
            )
    violations: list[Violation] = []
    for workspace, spans in spans_by_workspace.items():
        load = load_by_workspace[workspace]
        if load.rate is None or load.burst is None:
            continue
        excess = find_excess(spans, load.rate, load.burst)
        if excess is not None:
            violations.append(Violation('rate', f'{workspace}: {excess}'))
    return violations


def _find_coverage_error(answer: Answer) -> str:
    coverage = answer.coverage
    missing = {absent.shard for absent in coverage.missing}
    seen = {hit['shard'] for hit in answer.hits if 'shard' in hit}
    if len(missing) != len(coverage.missing):
        return 'a missing shard is listed twice'
    if coverage.shards_answered + len(missing) != coverage.shards_asked:
        return 'answered and missing shards do not add up to those asked'
    if coverage.complete != (not missing):
        return f'complete is {coverage.complete} with {len(missing)} missing'
    if seen & missing:
        return f'hits of missing shards {sorted(seen & missing)}'
    if len(seen) > coverage.shards_answered:
        return f'hits of {len(seen)} shards, more than answered'
    return ''
