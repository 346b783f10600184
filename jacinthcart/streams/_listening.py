"""Sockets that listen for connections."""

import socket
from typing import Any

import anyio

from jacinthcart.streams._receive_buffer import limit_receive_buffer


async def listen(address: str, port: int, backlog: int) -> socket.socket:
    """Return a socket that listens and does not block.

    Raise OSError if the address can't be bound. What the kernel receives is
    limited before connections arrive: they take the limit over.
    """
    found = await anyio.getaddrinfo(
        address, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    # Family, type and protocol; the address is last.
    listening = socket.socket(*found[0][:3])
    try:
        _bind(listening, found[0][-1], backlog)
    except BaseException:
        listening.close()
        raise
    return listening


def _bind(listening: socket.socket, target: Any, backlog: int) -> None:
    listening.setblocking(False)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    limit_receive_buffer(listening)
    listening.bind(target)
    listening.listen(backlog)
