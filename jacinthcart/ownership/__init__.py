"""Assignment of connections, cold searchers and tokens to VMs.

Every VM computes the same owners from the same list of VMs, by rendezvous
hashing.
"""

from jacinthcart.ownership._ranking import (
    count_connection_owners,
    find_part_owners,
    find_token_owners,
    find_warmer,
    qualify_searcher,
    rank_owners,
)

__all__ = [
    'count_connection_owners',
    'find_part_owners',
    'find_token_owners',
    'find_warmer',
    'qualify_searcher',
    'rank_owners',
]
