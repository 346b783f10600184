"""Open-loop arrivals: a schedule independent of the answers."""

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
    """A scheduled request."""

    #: Index in the schedule.
    number: int
    #: Scheduled start in seconds after the start of the run.
    at_s: float
    #: Name of the phase.
    phase: str
    #: Workspace that sends the request.
    workspace: WorkspaceLoad
    #: Route that is requested.
    route: RouteLoad
    #: Query in the request.
    query: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class _ScheduledStart:
    """Scheduled start of a request of one workspace."""

    at_s: float
    phase: Phase
    workspace: WorkspaceLoad


def create_arrivals(experiment: Experiment) -> Iterator[Arrival]:
    """Yield the arrivals in time order; they are equal for equal seeds."""
    rng = random.Random(experiment.seed)
    starts = itertools.islice(
        _draw_starts(experiment, rng),
        experiment.max_requests,
    )
    for number, start in enumerate(starts):
        routes = start.workspace.routes
        route = rng.choices(routes, [choice.weight for choice in routes])[0]
        yield Arrival(
            number,
            start.at_s,
            start.phase.name,
            start.workspace,
            route,
            _build_query(experiment.seed, number, route),
        )


def compute_workspace_shares(experiment: Experiment) -> list[float]:
    """Return the fraction of the arrivals for each workspace."""
    sizes = [
        workspace.weight / rank**experiment.skew
        for rank, workspace in enumerate(experiment.workspaces, start=1)
    ]
    return [size / sum(sizes) for size in sizes]


def _draw_starts(
    experiment: Experiment,
    rng: random.Random,
) -> Iterator[_ScheduledStart]:
    phase_start_s: float = 0
    for phase in experiment.phases:
        rates = _compute_rates(experiment, phase)
        if sum(rates) > 0:
            for at_s in _draw_arrival_times(phase, sum(rates), rng):
                workspace = rng.choices(experiment.workspaces, rates)[0]
                yield _ScheduledStart(phase_start_s + at_s, phase, workspace)
        phase_start_s += phase.duration_s


def _compute_rates(experiment: Experiment, phase: Phase) -> list[float]:
    return [
        experiment.rate_per_s
        * share
        * phase.factor
        * phase.factor_by_workspace.get(workspace.workspace, 1)
        for share, workspace in zip(
            compute_workspace_shares(experiment),
            experiment.workspaces,
            strict=True,
        )
    ]


def _draw_arrival_times(
    phase: Phase,
    rate: float,
    rng: random.Random,
) -> list[float]:
    """Return sorted times of Poisson arrivals and bursts in a phase."""
    times: list[float] = []
    at_s = rng.expovariate(rate)
    while at_s < phase.duration_s:
        times.append(at_s)
        at_s += rng.expovariate(rate)
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
