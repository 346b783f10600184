"""Fleet launcher, demo, benchmarks and soak test; not part of the product."""

from jacinthcart_lab._deployment import (
    RouteSpec,
    ServiceSpec,
    TeamSpec,
    build_fjordsom,
    build_voskovka,
    make_key,
)
from jacinthcart_lab._emulators import Emulators, wait_for_url
from jacinthcart_lab._fleet import ADMIN_KEY, Fleet, VmProcesses
from jacinthcart_lab._processes import FleetError

__all__ = [
    'ADMIN_KEY',
    'Emulators',
    'Fleet',
    'FleetError',
    'RouteSpec',
    'ServiceSpec',
    'TeamSpec',
    'VmProcesses',
    'build_fjordsom',
    'build_voskovka',
    'make_key',
    'wait_for_url',
]
