"""Serving one request: admission, sends and the answer."""

from jacinthcart.serving._admission import Admission, AdmissionTerms
from jacinthcart.serving._policy import AnswerPolicy, AnswerTerms
from jacinthcart.serving._records import merge_records
from jacinthcart.serving._request_run import RequestServer, ServingTerms
from jacinthcart.serving._results import MergedAnswer, ServedAnswer
from jacinthcart.serving._service_run import ServiceRun, SendTerms

__all__ = [
    'Admission',
    'AdmissionTerms',
    'AnswerPolicy',
    'AnswerTerms',
    'MergedAnswer',
    'RequestServer',
    'SendTerms',
    'ServedAnswer',
    'ServiceRun',
    'ServingTerms',
    'merge_records',
]
