"""The HTTP/1.1 server of a node for callers, peers and operators."""

from jacinthcart.front._messages import (
    BaseRequestHandler,
    RawRequest,
    RawResponse,
)
from jacinthcart.front._memory import CallerMemory, CallerMemoryParameters
from jacinthcart.front._server import HttpServer, create_processing

__all__ = [
    'BaseRequestHandler',
    'CallerMemory',
    'CallerMemoryParameters',
    'HttpServer',
    'RawRequest',
    'RawResponse',
    'create_processing',
]
