"""Fleet-wide rate limits: owned token shares, lent by count."""

from jacinthcart.limits._borrower import Borrower
from jacinthcart.limits._client import PermitClient, PostPermits
from jacinthcart.limits._ledger import (
    AcquireResult,
    CountsByOwner,
    Loan,
    TokenLedger,
)
from jacinthcart.limits._lender import BasePeerMessenger, Lender
from jacinthcart.limits._permits import Grant, Permit, PermitPool
from jacinthcart.limits._service import PermitService
from jacinthcart.limits._terms import LimitTerms, create_terms
from jacinthcart.tokens import TokenBucket

__all__ = [
    'AcquireResult',
    'BasePeerMessenger',
    'Borrower',
    'CountsByOwner',
    'Grant',
    'Lender',
    'LimitTerms',
    'Loan',
    'Permit',
    'PermitClient',
    'PermitService',
    'PermitPool',
    'PostPermits',
    'TokenBucket',
    'TokenLedger',
    'create_terms',
]
