"""Admission of queries over many shards while searchers lack capacity.

Decides which queries are sent, which wait in this VM and which are refused, by
priority, time left and the queueing delay that the searchers' reports show.
"""

from jacinthcart.overload._bands import (
    AdmissionBands,
    BandParameters,
    compute_slack_s,
)
from jacinthcart.overload._control import (
    OverloadControl,
    OverloadMode,
    OverloadParameters,
    QueryDemand,
    create_overload_control,
)
from jacinthcart.overload._decision import OverloadDecision
from jacinthcart.overload._demand import DemandTracker, QueryKind
from jacinthcart.overload._policy import AdmissionPolicy
from jacinthcart.overload._retry_delays import (
    RetryDelayParameters,
    RetryDelays,
)
from jacinthcart.overload._waiting import WaitingQueries, WaitingQuery

__all__ = [
    'AdmissionBands',
    'AdmissionPolicy',
    'BandParameters',
    'DemandTracker',
    'OverloadControl',
    'OverloadDecision',
    'OverloadMode',
    'OverloadParameters',
    'QueryDemand',
    'QueryKind',
    'RetryDelayParameters',
    'RetryDelays',
    'WaitingQueries',
    'WaitingQuery',
    'compute_slack_s',
    'create_overload_control',
]
