"""Sending requests to searchers: choice, connections, budgets, evidence."""

from jacinthcart.routing._budget import BudgetParameters, ExtraSendBudget
from jacinthcart.routing._call import Attempt, CallContext, SearcherClient
from jacinthcart.routing._choice import (
    Candidate,
    SelectionParameters,
    estimate_cost_s,
)
from jacinthcart.routing._codec import (
    BaseSearcherCodec,
    CallerRequest,
    ResponseHead,
    SearcherResponse,
)
from jacinthcart.routing._cold import ColdStartLimiter, RankSenders
from jacinthcart.routing._evidence import HealthTracker, SearcherHealth
from jacinthcart.routing._outcome import Outcome, OutcomeKind
from jacinthcart.routing._pool import ConnectionParameters, SearcherPools
from jacinthcart.routing._quantiles import QuantileParameters, QuantileTracker
from jacinthcart.routing._table import RoutingTable

__all__ = [
    'Attempt',
    'BaseSearcherCodec',
    'BudgetParameters',
    'CallContext',
    'CallerRequest',
    'Candidate',
    'SelectionParameters',
    'ColdStartLimiter',
    'ConnectionParameters',
    'QuantileParameters',
    'QuantileTracker',
    'HealthTracker',
    'ExtraSendBudget',
    'Outcome',
    'OutcomeKind',
    'RankSenders',
    'ResponseHead',
    'RoutingTable',
    'SearcherClient',
    'SearcherHealth',
    'SearcherPools',
    'SearcherResponse',
    'estimate_cost_s',
]
