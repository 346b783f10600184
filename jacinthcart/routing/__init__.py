"""Sending requests to searchers: choice, connections, budgets, evidence."""

from jacinthcart.routing._budget import BudgetTerms, ExtraSendBudget
from jacinthcart.routing._call import Attempt, CallContext, SearcherCalls
from jacinthcart.routing._choice import Candidate, ChoiceTerms, estimate_cost_s
from jacinthcart.routing._codec import (
    BaseSearcherCodec,
    CallerRequest,
    ResponseHead,
    SearcherResponse,
)
from jacinthcart.routing._cold import ColdStarts, RankSenders
from jacinthcart.routing._evidence import Evidence, SearcherEvidence
from jacinthcart.routing._outcome import Outcome, OutcomeKind
from jacinthcart.routing._pool import ConnectionTerms, SearcherPools
from jacinthcart.routing._quantiles import QuantileTerms, QuantileTracker
from jacinthcart.routing._table import RoutingTable

__all__ = [
    'Attempt',
    'BaseSearcherCodec',
    'BudgetTerms',
    'CallContext',
    'CallerRequest',
    'Candidate',
    'ChoiceTerms',
    'ColdStarts',
    'ConnectionTerms',
    'QuantileTerms',
    'QuantileTracker',
    'Evidence',
    'ExtraSendBudget',
    'Outcome',
    'OutcomeKind',
    'RankSenders',
    'ResponseHead',
    'RoutingTable',
    'SearcherCalls',
    'SearcherEvidence',
    'SearcherPools',
    'SearcherResponse',
    'estimate_cost_s',
]
