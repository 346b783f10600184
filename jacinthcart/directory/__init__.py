"""Which VMs a caller is told to connect to."""

from jacinthcart.directory._answers import (
    DirectoryOptions,
    choose_addresses,
    estimate_capacity,
)
from jacinthcart.directory._share import ServingShares

__all__ = [
    'DirectoryOptions',
    'ServingShares',
    'choose_addresses',
    'estimate_capacity',
]
