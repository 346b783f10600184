"""Replication of the platform's store between nodes.

Few VMs read the store, and the others pull the data from peers. Each VM tracks
a proof of how fresh its copy is.
"""

from jacinthcart.readings._item import Item
from jacinthcart.readings._lease import FreshnessLease
from jacinthcart.readings._position import START, Position
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
    ReadResult,
    StoredItem,
    StoreEraError,
    StoreError,
    StoreHistoryLostError,
    WatchResult,
)
from jacinthcart.readings._table import Changes, ItemTable
from jacinthcart.readings._versions import (
    BaseContentVersions,
    NoContentVersions,
)

__all__ = [
    'PULL_PATH',
    'START',
    'BaseContentVersions',
    'BaseStore',
    'Changes',
    'FreshnessLease',
    'Item',
    'ItemTable',
    'NoContentVersions',
    'Position',
    'ReadResult',
    'ReaderParameters',
    'ReaderRole',
    'StoreEraError',
    'StoreError',
    'StoreHistoryLostError',
    'StoreReader',
    'StoredItem',
    'TablePuller',
    'TableServer',
    'WatchResult',
]
