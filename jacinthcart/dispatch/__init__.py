"""Sends the requests of the gather program to searchers.

Contains connections, queues, replica choice, retries, hedging and the
detection and warm-up of cold searchers. A node uses `routing` instead.
"""

from jacinthcart.dispatch._client import (
    BaseSearcherClient,
    HttpSearcherClient,
    OpenSearcherClient,
    SearcherTarget,
    create_http_client_factory,
)
from jacinthcart.dispatch._dispatcher import Dispatcher, PostWarmEntries
from jacinthcart.dispatch._messages import PartCall, PartResult, Snapshot
from jacinthcart.dispatch._outcome import MissingReason
from jacinthcart.dispatch._reply import (
    SearcherRefusalError,
    SearcherReply,
    SearchMessage,
    WrongReplyError,
    parse_reply,
)

__all__ = [
    'BaseSearcherClient',
    'Dispatcher',
    'HttpSearcherClient',
    'MissingReason',
    'OpenSearcherClient',
    'PartCall',
    'PartResult',
    'PostWarmEntries',
    'SearchMessage',
    'SearcherRefusalError',
    'SearcherReply',
    'SearcherTarget',
    'Snapshot',
    'WrongReplyError',
    'create_http_client_factory',
    'parse_reply',
]
