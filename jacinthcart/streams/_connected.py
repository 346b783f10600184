"""Connections to servers whose streams read only what is asked for."""

import errno
import ipaddress
import os
import socket

import anyio

from jacinthcart.streams._accepted import AcceptedStream

#: A connection that does not block begins with one of these.
_IN_PROGRESS = (0, errno.EINPROGRESS)


async def connect(address: str, port: int) -> AcceptedStream:
    """Return a connection to an IP address; raise OSError if it fails.

    The streams that anyio connects read up to 256 KB ahead, which no account
    of their users counts. This one leaves them to the kernel.
    """
    try:
        ip_address = ipaddress.ip_address(address)
    except ValueError as error:
        raise OSError(f'no IP address: {address}') from error
    is_ipv4 = isinstance(ip_address, ipaddress.IPv4Address)
    family = socket.AF_INET if is_ipv4 else socket.AF_INET6
    raw_socket = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw_socket.setblocking(False)
        await _finish_connecting(raw_socket, address, port)
        return AcceptedStream(raw_socket, raw_socket.getpeername())
    except BaseException:
        raw_socket.close()
        raise


async def _finish_connecting(
    raw_socket: socket.socket, address: str, port: int
) -> None:
    code = raw_socket.connect_ex((address, port))
    if code in _IN_PROGRESS:
        await anyio.wait_writable(raw_socket)
        code = raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
