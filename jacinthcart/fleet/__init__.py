"""Gossip between nodes: discovers the live VMs from a few seeds.

The control program uses `membership` instead.
"""

from jacinthcart.fleet._discovery import DiscoveryParameters
from jacinthcart.fleet._failure_detector import (
    DetectionParameters,
    FailureDetector,
    Suspicion,
)
from jacinthcart.fleet._gossip import FleetGossip, GossipParameters
from jacinthcart.fleet._members import (
    MemberParameters,
    MemberTable,
    compute_interval_factor,
)
from jacinthcart.fleet._messages import MemberRecord, MemberState
from jacinthcart.fleet._sources import READERS_KEY

__all__ = [
    'READERS_KEY',
    'DetectionParameters',
    'DiscoveryParameters',
    'FailureDetector',
    'FleetGossip',
    'GossipParameters',
    'MemberParameters',
    'MemberRecord',
    'MemberState',
    'MemberTable',
    'Suspicion',
    'compute_interval_factor',
]
