"""The fleet's copy of the platform's store and the proof of its age."""

from jacinthcart.readings._lease import ReadingLease
from jacinthcart.readings._pull import (
    PULL_PATH,
    ReadingPuller,
    ReadingServer,
)
from jacinthcart.readings._reader import ReaderPlace, ReaderTerms, StoreReader
from jacinthcart.readings._source import (
    BaseStore,
    Item,
    ItemPage,
    StoreError,
    StoreHistoryLostError,
    WatchResult,
)
from jacinthcart.readings._table import Changes, ItemTable

__all__ = [
    'PULL_PATH',
    'BaseStore',
    'Changes',
    'Item',
    'ItemPage',
    'ItemTable',
    'ReaderPlace',
    'ReaderTerms',
    'ReadingLease',
    'ReadingPuller',
    'ReadingServer',
    'StoreError',
    'StoreHistoryLostError',
    'StoreReader',
    'WatchResult',
]
