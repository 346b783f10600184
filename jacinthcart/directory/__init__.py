"""Which VMs a caller is told to connect to."""

from jacinthcart.directory._answers import (
    DirectoryParameters,
    choose_addresses,
    estimate_capacity,
)
from jacinthcart.directory._share import ServingShares

__all__ = [
    'DirectoryParameters',
    'ServingShares',
    'choose_addresses',
    'estimate_capacity',
]
