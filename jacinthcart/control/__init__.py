"""The control program: platform reader, peers, leases, administration."""

from jacinthcart.control._node import ControlNode, Surroundings
from jacinthcart.control._permits import BasePermitService
from jacinthcart.control._program import run_control

__all__ = [
    'BasePermitService',
    'ControlNode',
    'Surroundings',
    'run_control',
]
