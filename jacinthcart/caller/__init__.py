"""Reference client library for callers of the query tier.

It discovers the addresses of VMs and fails over to another VM if that is
safe.
"""

from jacinthcart.caller._answers import (
    Address,
    Answer,
    Coverage,
    MissingShard,
    Snapshot,
)
from jacinthcart.caller._caller import Caller
from jacinthcart.caller._errors import (
    CallerError,
    DeadlineError,
    InvalidAnswerError,
    OutcomeLostError,
    RefusedError,
    UnreachableError,
)

__all__ = [
    'Address',
    'Answer',
    'Caller',
    'CallerError',
    'Coverage',
    'DeadlineError',
    'InvalidAnswerError',
    'MissingShard',
    'OutcomeLostError',
    'RefusedError',
    'Snapshot',
    'UnreachableError',
]
