"""Exception hierarchy and refusal codes shared by all programs."""

from jacinthcart.errors._codes import Ran, RefusalCode
from jacinthcart.errors._tree import (
    BodyMemoryError,
    BodyTooLargeError,
    InvalidMessageError,
    InvariantViolationError,
    JacinthcartError,
    MalformedResponseError,
    NotSentError,
    OutcomeUnknownError,
    RefusalError,
    RequestMemoryError,
    ResponseTooLargeError,
    SettingsError,
    WireError,
)

__all__ = [
    'BodyMemoryError',
    'BodyTooLargeError',
    'InvalidMessageError',
    'InvariantViolationError',
    'JacinthcartError',
    'MalformedResponseError',
    'NotSentError',
    'OutcomeUnknownError',
    'Ran',
    'RefusalCode',
    'RefusalError',
    'RequestMemoryError',
    'ResponseTooLargeError',
    'SettingsError',
    'WireError',
]
