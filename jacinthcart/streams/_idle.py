"""Failures and idleness of a connection."""

import select
import socket

import anyio

#: Errors of a stream whose peer or own side is gone; a clean end of the
#: peer's bytes is anyio.EndOfStream.
STREAM_FAILURES = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


def is_readable(raw_socket: socket.socket) -> bool:
    """Return whether bytes or an end have arrived, or the socket is closed.

    Nothing is expected between two requests of a kept connection, so an
    idle one that is readable must not be used again.
    """
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))
