"""Sends the requests of a node to searchers.

Contains searcher selection, connection pools, the budget of retries and hedges
and health tracking. The gather program uses `dispatch` instead.
"""

from jacinthcart.routing._budget import BudgetParameters, ExtraSendBudget
from jacinthcart.routing._call import Attempt, CallContext, SearcherClient
from jacinthcart.routing._codec import (
    BaseSearcherCodec,
    CallerRequest,
    ResponseHead,
    SearcherResponse,
)
from jacinthcart.routing._cold import ColdStartLimiter, RankSenders
from jacinthcart.routing._cost import (
    Candidate,
    SelectionParameters,
    estimate_cost_s,
)
from jacinthcart.routing._description import (
    ChoiceDescription,
    SearcherDescription,
)
from jacinthcart.routing._health import HealthTracker, SearcherHealth
from jacinthcart.routing._load_report import LoadReport
from jacinthcart.routing._outcome import INTERNAL_ERROR, Outcome, OutcomeKind
from jacinthcart.routing._pool import ConnectionParameters, SearcherPools
from jacinthcart.routing._quantiles import QuantileParameters, QuantileTracker
from jacinthcart.routing._response_progress import SearcherTraffic
from jacinthcart.routing._service_times import ServiceTimes
from jacinthcart.routing._table import RoutingTable, create_routing_table
from jacinthcart.routing._traffic import TrafficTable

__all__ = [
    'INTERNAL_ERROR',
    'Attempt',
    'BaseSearcherCodec',
    'BudgetParameters',
    'CallContext',
    'CallerRequest',
    'Candidate',
    'ChoiceDescription',
    'ColdStartLimiter',
    'ConnectionParameters',
    'ExtraSendBudget',
    'HealthTracker',
    'LoadReport',
    'Outcome',
    'OutcomeKind',
    'QuantileParameters',
    'QuantileTracker',
    'RankSenders',
    'ResponseHead',
    'RoutingTable',
    'SearcherClient',
    'SearcherDescription',
    'SearcherHealth',
    'SearcherPools',
    'SearcherResponse',
    'SearcherTraffic',
    'SelectionParameters',
    'ServiceTimes',
    'TrafficTable',
    'create_routing_table',
    'estimate_cost_s',
]
