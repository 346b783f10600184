"""Gossip between nodes: discovers the live VMs from a few seeds.

The control program uses `membership` instead.
"""

from jacinthcart.fleet._discovery import DiscoveryParameters
from jacinthcart.fleet._gossip import READERS_KEY, FleetGossip, GossipParameters
from jacinthcart.fleet._members import (
    MemberParameters,
    MemberTable,
    compute_interval_factor,
)
from jacinthcart.fleet._messages import MemberRecord, MemberState

__all__ = [
    'READERS_KEY',
    'DiscoveryParameters',
    'FleetGossip',
    'GossipParameters',
    'MemberParameters',
    'MemberRecord',
    'MemberState',
    'MemberTable',
    'compute_interval_factor',
]
