"""Tests of the wire form of responses."""

import unittest

from jacinthcart.front import RawResponse
from jacinthcart.front._messages import encode_response


class EncodeResponseTests(unittest.TestCase):
    """Responses are what RFC 9112 and RFC 9110 allow."""

    def test_response_without_a_body_has_no_length(self) -> None:
        """Guards against a length that its status does not allow."""
        for status in (204, 304):
            message = encode_response(RawResponse(status), keep_alive=True)
            self.assertNotIn(b'Content-Length', message)
            self.assertTrue(message.endswith(b'\r\n\r\n'))

    def test_empty_body_has_a_length(self) -> None:
        """Guards against a body that ends with the connection."""
        message = encode_response(RawResponse(200), keep_alive=True)
        self.assertIn(b'Content-Length: 0\r\n', message)

    def test_response_to_head_has_neither_body_nor_own_length(self) -> None:
        """Guards against a length that GET would not have, and a body."""
        length = (b'Content-Length', b'7')
        for headers in ((), (length,)):
            message = encode_response(
                RawResponse(200, headers, b'abc'),
                keep_alive=True,
                has_body=False,
            )
            self.assertEqual(message.count(b'Content-Length'), len(headers))
            self.assertTrue(message.endswith(b'\r\n\r\n'))
