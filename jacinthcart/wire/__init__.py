"""HTTP and JSON between processes: client, connection pool, server."""

from jacinthcart.wire._bodies import BodyReader
from jacinthcart.wire._client import HttpConnection, HttpResponse
from jacinthcart.wire._codec import decode_json, encode_json
from jacinthcart.wire._head import (
    BodyFraming,
    ParsedHead,
    ResponseHeadParser,
)
from jacinthcart.wire._limits import set_max_held_bytes
from jacinthcart.wire._pool import ConnectionPool
from jacinthcart.wire._server import AsgiApplication, serve_application

__all__ = [
    'AsgiApplication',
    'BodyFraming',
    'BodyReader',
    'ConnectionPool',
    'HttpConnection',
    'HttpResponse',
    'ParsedHead',
    'ResponseHeadParser',
    'decode_json',
    'encode_json',
    'serve_application',
    'set_max_held_bytes',
]
