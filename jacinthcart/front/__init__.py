"""The HTTP/1.1 server that callers and peers connect to."""

from jacinthcart.front._connection import (
    BaseRequestHandler,
    RawRequest,
    RawResponse,
)
from jacinthcart.front._server import HttpServer

__all__ = [
    'BaseRequestHandler',
    'HttpServer',
    'RawRequest',
    'RawResponse',
]
