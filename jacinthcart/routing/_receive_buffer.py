"""Limit on what the kernel receives for a connection to a searcher."""

import contextlib

from anyio.abc import ByteStream, SocketAttribute

from jacinthcart import streams

RECEIVE_BUFFER_BYTES = streams.RECEIVE_BUFFER_BYTES


def limit_receive_buffer(stream: ByteStream) -> None:
    """Limit the receive buffer of a connection, if its socket allows it."""
    raw_socket = stream.extra(SocketAttribute.raw_socket, None)
    if raw_socket is None:
        return
    # A connection that has failed already reports it at its first use.
    with contextlib.suppress(OSError):
        streams.limit_receive_buffer(raw_socket)
