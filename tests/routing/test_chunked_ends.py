"""Tests of finding the ends of bodies in chunks."""

from unittest import TestCase, mock

from jacinthcart.routing._body import _ChunkedBody


class ChunkedEndTests(TestCase):
    """The end of a body in chunks is found at a low cost."""

    def test_line_ends_in_a_chunk_cost_no_calls(self) -> None:
        """Guards against a call for each two bytes of a chunk."""
        body = _ChunkedBody()
        body.feed(b'ffffff\r\n')
        with mock.patch.object(body, '_parse', wraps=body._parse) as parse:
            for _ in range(10):
                body.feed(b'\r\n' * 2000)
        self.assertLessEqual(parse.call_count, 20)
        self.assertEqual(body.export_content(), b'\r\n' * 20_000)

    def test_end_after_line_ends_in_a_chunk_is_found(self) -> None:
        """Guards against bytes after a body that are taken for its part."""
        message = b'6\r\n\r\n\r\n\r\n\r\n2;a\r\n\r\n\r\n0\r\nx: y\r\n\r\n'
        for split in range(len(message) + 1):
            body = _ChunkedBody()
            first = body.feed(message[:split])
            rest = body.feed(b'%s\r\n\r\nHTTP' % message[split:])
            self.assertEqual(first, b'')
            self.assertTrue(body.is_complete)
            self.assertEqual(rest, b'\r\n\r\nHTTP')
            self.assertEqual(body.export_content(), b'\r\n\r\n\r\n\r\n')
