"""Exception hierarchy and refusal codes shared by all programs."""

from jacinthcart.errors._codes import Ran, RefusalCode
from jacinthcart.errors._tree import (
    InvalidMessageError,
    InvariantViolationError,
    JacinthcartError,
    MalformedResponseError,
    NotSentError,
    OutcomeUnknownError,
    RefusalError,
    SettingsError,
    WireError,
)

__all__ = [
    'InvalidMessageError',
    'InvariantViolationError',
    'JacinthcartError',
    'MalformedResponseError',
    'NotSentError',
    'OutcomeUnknownError',
    'Ran',
    'RefusalCode',
    'RefusalError',
    'SettingsError',
    'WireError',
]
