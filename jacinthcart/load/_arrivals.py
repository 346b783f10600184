"""Open-loop arrivals: a schedule that does not depend on the answers."""

import dataclasses
import itertools
import random
from collections.abc import Iterator
from typing import Any

from jacinthcart.load._models import (
    Experiment,
    Phase,
    RouteLoad,
    WorkspaceLoad,
)
from jacinthcart.settings import RouteKind


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One intended request."""

    #: Position in the schedule.
    number: int
    #: Intended start, in seconds after the start of the run.
    at_s: float
    #: Name of the phase.
    phase: str
    #: The workspace that sends it.
    workspace: WorkspaceLoad
    #: The route that it asks.
    route: RouteLoad
    #: The query.
    query: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class _Start:
    """When a request of some workspace is intended to start."""

    at_s: float
    phase: Phase
    workspace: WorkspaceLoad


def create_arrivals(experiment: Experiment) -> Iterator[Arrival]:
    """Yield the arrivals in time order; equal seeds give equal ones."""
    source = random.Random(experiment.seed)
    starts = itertools.islice(
        _draw_starts(experiment, source),
        experiment.max_requests,
    )
    for number, start in enumerate(starts):
        routes = start.workspace.routes
        route = source.choices(routes, [one.weight for one in routes])[0]
        yield Arrival(
            number,
            start.at_s,
            start.phase.name,
            start.workspace,
            route,
            _build_query(experiment.seed, number, route),
        )


def compute_shares(experiment: Experiment) -> list[float]:
    """Return the share of the arrivals of each workspace."""
    sizes = [
        workspace.weight / rank**experiment.skew
        for rank, workspace in enumerate(experiment.workspaces, start=1)
    ]
    return [size / sum(sizes) for size in sizes]


def _draw_starts(
    experiment: Experiment,
    source: random.Random,
) -> Iterator[_Start]:
    phase_start_s: float = 0
    for phase in experiment.phases:
        rates = _compute_rates(experiment, phase)
        if sum(rates) > 0:
            for at_s in _draw_times(phase, sum(rates), source):
                workspace = source.choices(experiment.workspaces, rates)[0]
                yield _Start(phase_start_s + at_s, phase, workspace)
        phase_start_s += phase.duration_s


def _compute_rates(experiment: Experiment, phase: Phase) -> list[float]:
    return [
        experiment.rate_per_s
        * share
        * phase.factor
        * phase.factor_by_workspace.get(workspace.workspace, 1)
        for share, workspace in zip(
            compute_shares(experiment),
            experiment.workspaces,
            strict=True,
        )
    ]


def _draw_times(
    phase: Phase,
    rate: float,
    source: random.Random,
) -> list[float]:
    """Return Poisson arrivals and bursts within the phase, in order."""
    times: list[float] = []
    at_s = source.expovariate(rate)
    while at_s < phase.duration_s:
        times.append(at_s)
        at_s += source.expovariate(rate)
    if phase.bursts is not None:
        burst_at_s = phase.bursts.every_s
        while burst_at_s < phase.duration_s:
            times.extend(itertools.repeat(burst_at_s, phase.bursts.size))
            burst_at_s += phase.bursts.every_s
    return sorted(times)


def _build_query(seed: int, number: int, route: RouteLoad) -> dict[str, Any]:
    text = f'{seed}-{number}'
    if route.kind is RouteKind.SEARCH:
        return {'text': text}
    return {'id': text}
