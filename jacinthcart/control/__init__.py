"""The control program: platform reader, peers, leases, administration."""

from jacinthcart.control._node import ControlNode, Surroundings
from jacinthcart.control._permits import BasePermitService, NoPermitService
from jacinthcart.control._program import PermitFactory, run_control
from jacinthcart.control._warm import MergeEntries, keep_higher_incident

__all__ = [
    'BasePermitService',
    'ControlNode',
    'MergeEntries',
    'NoPermitService',
    'PermitFactory',
    'Surroundings',
    'keep_higher_incident',
    'run_control',
]
