"""Which VMs a caller is told to connect to."""

from jacinthcart.directory._answers import (
    DirectoryTerms,
    choose_addresses,
    estimate_capacity,
)

__all__ = ['DirectoryTerms', 'choose_addresses', 'estimate_capacity']
