"""The gather program: planning, fan-out, merging and deduplication.

It runs the parts of a query that its VM owns through `dispatch` and sends the
other parts to the gathers of their owners.
"""

from jacinthcart.gather._backend import BaseDispatcher
from jacinthcart.gather._connect import WarmSender
from jacinthcart.gather._plan import choose_lookup_shard
from jacinthcart.gather._program import DispatcherFactory, run_gather

__all__ = [
    'BaseDispatcher',
    'DispatcherFactory',
    'WarmSender',
    'choose_lookup_shard',
    'run_gather',
]
