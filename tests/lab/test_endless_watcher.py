"""Tests of how the plays of endless bytes measure receive queues."""

from unittest import TestCase

from jacinthcart_lab.endless._watcher import parse_queues

_LINE = (
    '{number}: 0100007F:BC59 0100007F:A001 {state} 00000000:{waiting} '
    '00:00000000 00000000     0        0 {inode} 1 0000000027dc74a7 20 4 0 10 -1'
)


class QueueTests(TestCase):
    """Only sockets that may have received something have a queue."""

    def test_connection_being_opened_has_no_queue(self) -> None:
        """Guards against a VM ended for a queue that does not exist."""
        lines = [
            _LINE.format(
                number=number, state=state, waiting=waiting, inode=inode
            )
            for number, (state, waiting, inode) in enumerate(
                (
                    ('02', '38503C2B', 1),
                    ('0A', '00000200', 2),
                    ('01', '00010000', 3),
                    ('08', '00000001', 4),
                    ('01', '00000000', 5),
                    ('07', '00000600', 6),
                )
            )
        ]
        self.assertEqual(parse_queues(lines), {'3': 65536, '4': 1, '6': 1536})
