"""Launcher, demo and bench; not a part of the product."""

from jacinthcart_lab._deployment import (
    RouteShape,
    ServiceShape,
    TeamShape,
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
    'RouteShape',
    'ServiceShape',
    'TeamShape',
    'VmProcesses',
    'build_fjordsom',
    'build_voskovka',
    'make_key',
    'wait_for_url',
]
