"""Serving one request: admission, sends and the answer."""

from jacinthcart.serving._admission import (
    Admission,
    AdmissionOptions,
    Admitted,
)
from jacinthcart.serving._caller_age import CallerAgeEstimator, CallerAgeOptions
from jacinthcart.serving._hedging import SendOptions, find_hedge_delay_s
from jacinthcart.serving._policy import (
    AnswerPolicy,
    AnswerOptions,
    HoldPolicy,
)
from jacinthcart.serving._records import merge_records
from jacinthcart.serving._request_run import RequestServer, ServingOptions
from jacinthcart.serving._results import (
    MergedAnswer,
    SendReport,
    ServedAnswer,
)
from jacinthcart.serving._service_run import ServiceRun

__all__ = [
    'Admission',
    'AdmissionOptions',
    'Admitted',
    'AnswerPolicy',
    'AnswerOptions',
    'CallerAgeOptions',
    'CallerAgeEstimator',
    'HoldPolicy',
    'MergedAnswer',
    'RequestServer',
    'SendReport',
    'SendOptions',
    'ServedAnswer',
    'ServiceRun',
    'ServingOptions',
    'find_hedge_delay_s',
    'merge_records',
]
