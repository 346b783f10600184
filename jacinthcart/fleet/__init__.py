"""Which VMs of the system live, found from a few seeds."""

from jacinthcart.fleet._gossip import READERS_KEY, FleetGossip, GossipTerms
from jacinthcart.fleet._growth import GrowthTerms
from jacinthcart.fleet._members import MemberTable, MemberTerms, find_pace
from jacinthcart.fleet._messages import MemberRecord, MemberState

__all__ = [
    'READERS_KEY',
    'FleetGossip',
    'GossipTerms',
    'GrowthTerms',
    'MemberRecord',
    'MemberState',
    'MemberTable',
    'MemberTerms',
    'find_pace',
]
