"""Admission of a node's requests and their execution on searchers.

Decides on retries and hedges, sends through `routing` and merges the responses
of the shards.
"""

from jacinthcart.serving._admission import (
    Admission,
    AdmissionParameters,
    Admitted,
)
from jacinthcart.serving._caller_age import (
    CallerAgeEstimator,
    CallerAgeParameters,
)
from jacinthcart.serving._explanation import (
    RequestExplainer,
    RequestExplanation,
    ServiceExplanation,
)
from jacinthcart.serving._hedging import SendParameters, compute_hedge_delay_s
from jacinthcart.serving._policy import (
    AnswerParameters,
    AnswerPolicy,
    HoldPolicy,
    RetryParameters,
    compute_answerable_at,
    compute_retry_after_s,
)
from jacinthcart.serving._records import merge_records
from jacinthcart.serving._request_run import RequestServer, ServingParameters
from jacinthcart.serving._results import (
    MergedAnswer,
    SendReport,
    ServedAnswer,
)
from jacinthcart.serving._service_run import ServiceRun
from jacinthcart.serving._shutdown import Shutdown, ShutdownParameters

__all__ = [
    'Admission',
    'AdmissionParameters',
    'Admitted',
    'AnswerParameters',
    'AnswerPolicy',
    'CallerAgeEstimator',
    'CallerAgeParameters',
    'HoldPolicy',
    'MergedAnswer',
    'RequestExplainer',
    'RequestExplanation',
    'RequestServer',
    'RetryParameters',
    'SendParameters',
    'SendReport',
    'ServedAnswer',
    'ServiceExplanation',
    'ServiceRun',
    'ServingParameters',
    'Shutdown',
    'ShutdownParameters',
    'compute_answerable_at',
    'compute_hedge_delay_s',
    'compute_retry_after_s',
    'merge_records',
]
