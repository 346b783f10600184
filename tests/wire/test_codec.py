"""Tests of the estimate of what a decoded message takes."""

import itertools
import json
import sys
from typing import Any
from unittest import TestCase, mock

from jacinthcart.errors import InvalidMessageError
from jacinthcart.wire import _codec as codec_module
from jacinthcart.wire import decode_json, encode_json
from jacinthcart.wire._codec import estimate_decoded_bytes

_TEXT_BYTES = 4_000_000


class EstimateTests(TestCase):
    """The estimate counts each text by its widest character."""

    def test_one_key_outside_ascii_does_not_count_for_other_texts(self) -> None:
        """Guards against a sound table that is refused for one key."""
        for key in ('\u00e9', '\u0416', '\U0001f50d', r'\"\u0416'):
            message = {'x': 'a' * _TEXT_BYTES, key: 'b', 'y': r'\"' * 9}
            body = encode_json(message)
            self.assertLess(estimate_decoded_bytes(body), 1.01 * _TEXT_BYTES)
            self.assertEqual(decode_json(body, 2 * _TEXT_BYTES), message)

    def test_estimate_is_at_least_the_size_of_the_texts(self) -> None:
        """Guards against an answer that takes more than it was estimated."""
        characters = ('a', '\u00fc', '\u0439', '\u65e5', '\U0001f600', '"')
        for first, other, length in itertools.product(
            characters, characters, (1, 100, 10_000)
        ):
            text = first + other * length
            for body in (
                encode_json([text]),
                encode_json({text: text}),
                json.dumps([text]).encode(),
            ):
                size = _measure(decode_json(body))
                self.assertGreaterEqual(estimate_decoded_bytes(body), size)

    def test_malformed_message_is_not_searched_again(self) -> None:
        """Guards against quadratic time for a message without an end."""
        for part in ('"', '\u00e9', '"\u00e9', '"\u00e9"', r'\u0416"'):
            body = ('["\u00e9",%s' % (part * 300_000)).encode()
            estimate = estimate_decoded_bytes(body)
            self.assertLess(estimate, 4 * len(body) + 1000)

    def test_message_of_many_texts_is_estimated_at_once(self) -> None:
        """Guards against an answer that holds the event loop for seconds."""
        texts = 1_000_000
        body = b'[%b]' % b','.join(
            itertools.repeat(encode_json('\u00e9'), texts)
        )
        searched = mock.Mock(wraps=codec_module._compute_added_bytes)
        with mock.patch.object(codec_module, '_compute_added_bytes', searched):
            self.assertRaises(InvalidMessageError, decode_json, body, texts)
            self.assertEqual(searched.call_count, 0)
            estimate = estimate_decoded_bytes(body)
        self.assertLessEqual(searched.call_count, 10_000)
        size = sum(map(sys.getsizeof, decode_json(body)))
        self.assertGreaterEqual(estimate, size)


def _measure(message: Any) -> int:
    """Return the bytes of a message and of its texts."""
    texts = message if isinstance(message, list) else [*message.items()][0]
    return sys.getsizeof(message) + sum(map(sys.getsizeof, texts))
