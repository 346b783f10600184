"""Fleet-wide allotments of workspaces, granted by one home VM each."""

from jacinthcart.quota._home import QuotaHome, QuotaTerms
from jacinthcart.quota._client import QuotaClient

__all__ = ['QuotaClient', 'QuotaHome', 'QuotaTerms']
