"""Selection of the VMs that callers are directed to.

A directory answer contains the addresses of VMs for one caller. The selection
also determines each VM's share of fleet-wide limits.
"""

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
