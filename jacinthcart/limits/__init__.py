"""Fleet-wide rate limits of the entry and control programs.

The tokens of a workspace are divided among its owner VMs. A VM whose share
does not cover its demand borrows tokens from the other owners. The program
`jacinthcart.node` uses `jacinthcart.quota` instead.
"""

from jacinthcart.limits._borrower import Borrower
from jacinthcart.limits._client import PermitClient, PostPermits
from jacinthcart.limits._ledger import (
    AcquireResult,
    CountsByOwner,
    Loan,
    TokenLedger,
)
from jacinthcart.limits._lender import BasePeerMessenger, Lender
from jacinthcart.limits._parameters import LimitParameters, derive_parameters
from jacinthcart.limits._permits import Grant, Permit, PermitPool
from jacinthcart.limits._service import PermitService
from jacinthcart.tokens import TokenBucket

__all__ = [
    'AcquireResult',
    'BasePeerMessenger',
    'Borrower',
    'CountsByOwner',
    'Grant',
    'Lender',
    'LimitParameters',
    'Loan',
    'Permit',
    'PermitClient',
    'PermitService',
    'PermitPool',
    'PostPermits',
    'TokenBucket',
    'TokenLedger',
    'derive_parameters',
]
