"""Serving one request: admission, sends and the answer."""

from jacinthcart.serving._admission import (
    Admission,
    AdmissionTerms,
    Admitted,
)
from jacinthcart.serving._caller_age import CallerAges, CallerAgeTerms
from jacinthcart.serving._hedging import SendTerms, find_hedge_delay_s
from jacinthcart.serving._policy import (
    AnswerPolicy,
    AnswerTerms,
    HoldPolicy,
)
from jacinthcart.serving._records import merge_records
from jacinthcart.serving._request_run import RequestServer, ServingTerms
from jacinthcart.serving._results import (
    MergedAnswer,
    SendReport,
    ServedAnswer,
)
from jacinthcart.serving._service_run import ServiceRun

__all__ = [
    'Admission',
    'AdmissionTerms',
    'Admitted',
    'AnswerPolicy',
    'AnswerTerms',
    'CallerAgeTerms',
    'CallerAges',
    'HoldPolicy',
    'MergedAnswer',
    'RequestServer',
    'SendReport',
    'SendTerms',
    'ServedAnswer',
    'ServiceRun',
    'ServingTerms',
    'find_hedge_delay_s',
    'merge_records',
]
