"""Sample experiments, answers and results for the load tests."""

from typing import Any

from jacinthcart.caller import Answer, Coverage, MissingShard, Snapshot
from jacinthcart.load import (
    Arrival,
    Experiment,
    RequestResult,
    RouteLoad,
    WorkspaceLoad,
)
from jacinthcart.settings import RouteKind

ROUTE = RouteLoad(
    route='team/search',
    kind='search',
    request_class='priority',
    deadline_ms=1000,
)
SUBMIT_ROUTE = ROUTE.model_copy(update={'kind': RouteKind.SUBMIT})
WORKSPACE = WorkspaceLoad(
    workspace='team/one',
    routes=(ROUTE,),
    rate=10,
    burst=5,
)


def make_experiment(**fields: Any) -> Experiment:
    """Return an experiment with one workspace, 10 s at 20 requests/s."""
    return Experiment.model_validate(
        {
            'name': 'sample',
            'entries': [{'address': '127.0.0.1', 'port': 1}],
            'workspaces': [WORKSPACE.model_dump()],
            'rate_per_s': 20,
            'phases': [{'name': 'steady', 'duration_s': 10}],
            **fields,
        },
    )


def make_arrival(number: int = 0, at_s: float = 0, route=ROUTE) -> Arrival:
    """Return an arrival of the sample workspace."""
    return Arrival(number, at_s, 'steady', WORKSPACE, route, {'text': 'x'})


def make_answer(
    shards: tuple[int, ...] = (0, 1),
    missing: tuple[int, ...] = (),
    request_id: str = 'a',
    **fields: Any,
) -> Answer:
    """Return a correct answer, one hit per shard; `fields` override."""
    coverage = Coverage(
        len(shards) + len(missing),
        len(shards),
        tuple(MissingShard(shard, 'timeout') for shard in missing),
        not missing,
    )
    hits = tuple(
        {'id': str(shard), 'score': 1, 'shard': shard, 'index_version': 1}
        for shard in shards
    )
    answer = {
        'request_id': request_id,
        'workspace': WORKSPACE.workspace,
        'snapshot': Snapshot(1, 1),
        'coverage': coverage,
        'hits': hits,
    }
    return Answer(**{**answer, **fields})


def make_result(
    number: int = 0,
    sent_s: float = 0,
    received_s: float = 0,
    answer: Answer | None = None,
    **fields: Any,
) -> RequestResult:
    """Return the result of an answered request that was sent on time."""
    result = {
        'arrival': make_arrival(number, sent_s),
        'sent_s': sent_s,
        'received_s': received_s,
        'outcome': 'answered',
        'ran': '',
        'attempts': (),
        'answer': answer or make_answer(request_id=str(number)),
    }
    return RequestResult(**{**result, **fields})
