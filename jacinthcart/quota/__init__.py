"""Fleet-wide rate limits of workspaces, enforced by nodes.

The limit of a workspace is enforced by one VM, its home, which every VM
determines from the member list. The entry and control programs use `limits`
instead.
"""

from jacinthcart.quota._client import (
    QUOTA_KINDS,
    QuotaClient,
    QuotaDecision,
)
from jacinthcart.quota._home import QuotaHome, QuotaParameters
from jacinthcart.quota._return_schedule import ReturnParameters, ReturnSchedule

__all__ = [
    'QUOTA_KINDS',
    'QuotaClient',
    'QuotaDecision',
    'QuotaHome',
    'QuotaParameters',
    'ReturnParameters',
    'ReturnSchedule',
]
