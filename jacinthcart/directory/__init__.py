"""Which VMs a caller is told to connect to."""

from jacinthcart.directory._answers import (
    DirectoryTerms,
    choose_addresses,
    estimate_capacity,
)
from jacinthcart.directory._share import ServingShares

__all__ = [
    'DirectoryTerms',
    'ServingShares',
    'choose_addresses',
    'estimate_capacity',
]
