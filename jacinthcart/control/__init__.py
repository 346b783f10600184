"""The control program: platform reader, peers, leases, administration."""

from jacinthcart.control._node import ControlNode, NodeDependencies
from jacinthcart.control._permits import BasePermitService
from jacinthcart.control._program import run_control

__all__ = [
    'BasePermitService',
    'ControlNode',
    'NodeDependencies',
    'run_control',
]
