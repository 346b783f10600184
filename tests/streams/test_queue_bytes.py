"""Tests of the unread bytes of a socket."""

import socket
from unittest import TestCase

from jacinthcart.streams import count_queue_bytes


class QueueBytesTests(TestCase):
    """The kernel tells what it holds for a socket."""

    def test_unread_bytes_are_counted(self) -> None:
        """Guards against memory of the kernel that no figure shows."""
        near, far = socket.socketpair()
        with near, far:
            far.sendall(b'a' * 5000)
            near.recv(1000)
            self.assertEqual(count_queue_bytes(near), 4000)

    def test_closed_socket_has_none(self) -> None:
        """Guards against a page of metrics that fails at a closed socket."""
        near, far = socket.socketpair()
        near.close()
        far.close()
        self.assertEqual(count_queue_bytes(near), 0)
