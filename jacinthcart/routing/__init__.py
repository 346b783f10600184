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
from jacinthcart.routing._health import HealthTracker, SearcherHealth
from jacinthcart.routing._outcome import INTERNAL_ERROR, Outcome, OutcomeKind
from jacinthcart.routing._pool import ConnectionParameters, SearcherPools
from jacinthcart.routing._quantiles import QuantileParameters, QuantileTracker
from jacinthcart.routing._table import RoutingTable

__all__ = [
    'INTERNAL_ERROR',
    'Attempt',
    'BaseSearcherCodec',
    'BudgetParameters',
    'CallContext',
    'CallerRequest',
    'Candidate',
    'ColdStartLimiter',
    'ConnectionParameters',
    'ExtraSendBudget',
    'HealthTracker',
    'Outcome',
    'OutcomeKind',
    'QuantileParameters',
    'QuantileTracker',
    'RankSenders',
    'ResponseHead',
    'RoutingTable',
    'SearcherClient',
    'SearcherHealth',
    'SearcherPools',
    'SearcherResponse',
    'SelectionParameters',
    'estimate_cost_s',
]
