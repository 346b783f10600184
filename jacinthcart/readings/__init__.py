"""Replication of the platform's store between nodes.

Few VMs read the store, and the others pull the data from peers. Each VM tracks
a proof of how fresh its copy is.
"""

from jacinthcart.readings._lease import FreshnessLease
from jacinthcart.readings._pull import (
    PULL_PATH,
    TablePuller,
    TableServer,
)
from jacinthcart.readings._reader import (
    ReaderParameters,
    ReaderRole,
    StoreReader,
)
from jacinthcart.readings._source import (
    BaseStore,
    Item,
    ReadResult,
    StoreError,
    StoreHistoryLostError,
    WatchResult,
)
from jacinthcart.readings._table import Changes, ItemTable

__all__ = [
    'PULL_PATH',
    'BaseStore',
    'Changes',
    'FreshnessLease',
    'Item',
    'ItemTable',
    'ReadResult',
    'ReaderParameters',
    'ReaderRole',
    'StoreError',
    'StoreHistoryLostError',
    'StoreReader',
    'TablePuller',
    'TableServer',
    'WatchResult',
]
