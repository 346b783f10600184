"""Detects connections that failed or must not be reused."""

import fcntl
import select
import socket
import struct
import termios

import anyio

_INTEGER = struct.Struct('i')
#: Errors of a stream that failed or was closed on this side. An orderly end
#: by the peer raises anyio.EndOfStream instead.
STREAM_FAILURES = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


def is_readable(raw_socket: socket.socket) -> bool:
    """Return whether data or end of file has arrived or the socket is closed.

    No data is expected between two requests of a keep-alive connection, so
    an idle connection that is readable must not be reused.
    """
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def is_closed_by_peer(raw_socket: socket.socket) -> bool:
    """Return whether the peer has closed, also behind data that is unread."""
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return True
    poller = select.poll()
    # Reset and failed connections are always reported.
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))


def count_queue_bytes(raw_socket: socket.socket) -> int:
    """Return the received bytes that are unread; 0 for a closed socket."""
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return 0
    content = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(_INTEGER.size))
    return int(_INTEGER.unpack(content)[0])
