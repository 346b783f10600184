"""Limit on what the kernel receives for a connection."""

import socket

#: Bytes of SO_RCVBUF. Linux reserves twice as many, for its own structures
#: too. Without a limit, the buffer of a connection grows up to the last figure
#: of tcp_rmem, some MB to some 10 MB, and counts for the process.
RECEIVE_BUFFER_BYTES = 128 * 1024


def limit_receive_buffer(raw_socket: socket.socket) -> None:
    """Limit the receive buffer of a socket, or of those that it accepts.

    Raise OSError if the socket has failed.
    """
    raw_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
