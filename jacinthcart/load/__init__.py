"""Load generator: open-loop arrivals, invariant checks and reports."""

from jacinthcart.load._arrivals import Arrival, create_arrivals
from jacinthcart.load._checks import (
    AnswerChecker,
    Violation,
    accept_every_answer,
    find_answer_violations,
    find_rate_violations,
    find_repeated_submits,
    find_violations,
)
from jacinthcart.load._models import (
    Bursts,
    EntryAddress,
    Experiment,
    Phase,
    RouteLoad,
    WorkspaceLoad,
)
from jacinthcart.load._plots import draw_latency_over_time
from jacinthcart.load._report import (
    RequestStatistics,
    build_report,
    build_table,
    group_results,
    summarize,
)
from jacinthcart.load._results import RequestResult, write_results
from jacinthcart.load._run import LoadRun, create_callers
from jacinthcart.load._transport import Attempt, RecordingTransport
from jacinthcart.load._window import Excess, find_excess

__all__ = [
    'AnswerChecker',
    'Arrival',
    'Attempt',
    'Bursts',
    'EntryAddress',
    'Excess',
    'Experiment',
    'LoadRun',
    'Phase',
    'RecordingTransport',
    'RequestResult',
    'RequestStatistics',
    'RouteLoad',
    'Violation',
    'WorkspaceLoad',
    'accept_every_answer',
    'build_report',
    'build_table',
    'create_arrivals',
    'create_callers',
    'draw_latency_over_time',
    'find_answer_violations',
    'find_excess',
    'find_rate_violations',
    'find_repeated_submits',
    'find_violations',
    'group_results',
    'summarize',
    'write_results',
]
