"""Limit on what the kernel receives for a connection to a searcher."""

import socket

from anyio.abc import ByteStream, SocketAttribute

#: Bytes of SO_RCVBUF. Linux reserves twice as many, for its own structures
#: too. Without a limit, the buffer of a connection grows up to the last figure
#: of tcp_rmem, some MB to some 10 MB, and counts for the process.
RECEIVE_BUFFER_BYTES = 128 * 1024


def limit_receive_buffer(stream: ByteStream) -> None:
    """Limit the receive buffer of a connection, if its socket allows it."""
    raw_socket = stream.extra(SocketAttribute.raw_socket, None)
    if raw_socket is None:
        return
    try:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
    except OSError:
        # The connection has failed already, which its first use reports.
        return
