"""Fleet-wide rate limits of workspaces, each enforced by one home VM."""

from jacinthcart.quota._client import (
    KIND_GRANT,
    KIND_TAKE,
    QuotaClient,
    QuotaDecision,
)
from jacinthcart.quota._home import QuotaHome, QuotaParameters

__all__ = [
    'KIND_GRANT',
    'KIND_TAKE',
    'QuotaClient',
    'QuotaDecision',
    'QuotaHome',
    'QuotaParameters',
]
