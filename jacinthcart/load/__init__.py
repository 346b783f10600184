"""The load tool: open-loop load, checks and reports."""

from jacinthcart.load._arrivals import Arrival, create_arrivals
from jacinthcart.load._checks import (
    AnswerChecker,
    Fault,
    accept_every_answer,
    find_answer_faults,
    find_faults,
    find_rate_faults,
    find_repeated_submits,
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
    Figures,
    build_report,
    build_table,
    group_results,
    summarize,
)
from jacinthcart.load._results import RequestResult, write_results
from jacinthcart.load._run import LoadRun, create_callers
from jacinthcart.load._transport import Attempt, ObservingTransport
from jacinthcart.load._window import Excess, find_excess

__all__ = [
    'AnswerChecker',
    'Arrival',
    'Attempt',
    'Bursts',
    'EntryAddress',
    'Excess',
    'Experiment',
    'Fault',
    'Figures',
    'LoadRun',
    'ObservingTransport',
    'Phase',
    'RequestResult',
    'RouteLoad',
    'WorkspaceLoad',
    'accept_every_answer',
    'build_report',
    'build_table',
    'create_arrivals',
    'create_callers',
    'draw_latency_over_time',
    'find_answer_faults',
    'find_excess',
    'find_faults',
    'find_rate_faults',
    'find_repeated_submits',
    'group_results',
    'summarize',
    'write_results',
]
