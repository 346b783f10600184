"""The control program of a VM.

It watches the configuration service, exchanges state with peers, grants
serving leases and rate permits to the local processes and serves the
administration API.
"""

from jacinthcart.control._node import ControlNode, NodeDependencies
from jacinthcart.control._permits import BasePermitService
from jacinthcart.control._program import run_control

__all__ = [
    'BasePermitService',
    'ControlNode',
    'NodeDependencies',
    'run_control',
]
