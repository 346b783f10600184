"""Tests of the heads of responses; the clients' tests cover each rule."""

import itertools
from unittest import TestCase, mock

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.errors import MalformedResponseError
from jacinthcart.wire import BodyFraming, ParsedHead, ResponseHeadParser
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME

_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


_BASE = b'HTTP/1.1 200 OK\r\nA: b c\r\nD:\r\nContent-Length: 2\r\n\r\n'
_BYTES = st.sampled_from(b'\x00\x01\t\n\r :19ab\x7f\xff')


def _parse_pieces(pieces: list[bytes]) -> ParsedHead | str:
    parser = ResponseHeadParser()
    try:
        for piece in pieces:
            head = parser.feed(piece)
            if head is not None:
                return head
    except MalformedResponseError:
        return 'malformed'
    return 'incomplete'


def _parse(head: bytes) -> ParsedHead:
    parsed = ResponseHeadParser().feed(head)
    assert parsed is not None
    return parsed


class ResponseHeadParserTests(TestCase):
    """Each head is accepted or rejected as the standards require."""

    def test_every_malformation_is_detected(self) -> None:
        """Guards against a malformed head that one client accepts."""
        for name, malformation in MALFORMATIONS_BY_NAME.items():
            with self.subTest(name), self.assertRaises(MalformedResponseError):
                ResponseHeadParser().feed(malformation.apply(_RESPONSE))

    def test_malformed_line_is_detected_before_the_head_ends(self) -> None:
        """Guards against waiting for the end of a head that can't be valid."""
        starts = (
            b'\x16\x03',
            b'<html>',
            b'HTTP/2',
            b'HTTP/1.1 000 OK\r\n',
            b'HTTP/1.1 200 OK\r\na b: c\r\n',
            b'HTTP/1.1 200 OK\r\na\x01',
            b'HTTP/1.1 200 OK\n',
            b'HTTP/1.1 200 OK\rx',
        )
        for start in starts:
            with self.subTest(start), self.assertRaises(MalformedResponseError):
                ResponseHeadParser().feed(start)

    def test_endless_head_is_malformed(self) -> None:
        """Guards against memory that a searcher in trouble takes."""
        start = b'HTTP/1.1 200 OK\r\n'
        for piece in (b'x: y\r\n', b'x: %s\r\n' % (b'y' * 1000), b'x' * 1000):
            parser = ResponseHeadParser()
            parser.feed(start)
            with self.subTest(piece), self.assertRaises(MalformedResponseError):
                for _ in range(100_000):
                    parser.feed(piece)

    def test_endless_interim_responses_are_malformed(self) -> None:
        """Guards against reading interim responses without end."""
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        with self.assertRaises(MalformedResponseError):
            ResponseHeadParser().feed(interim * 40)

    def test_framing_follows_from_status_and_headers(self) -> None:
        """Guards against a body that ends at the wrong byte."""
        framing_by_head = {
            b'200 \r\n': BodyFraming.CLOSE,
            b'200 \r\ncontent-length: 3\r\n': BodyFraming.LENGTH,
            b'200 \r\ntransfer-encoding: chunked\r\n': BodyFraming.CHUNKED,
            b'204 \r\n': BodyFraming.NONE,
            b'204 \r\ncontent-length: 0\r\n': BodyFraming.NONE,
            b'304 \r\ncontent-length: 3\r\n': BodyFraming.NONE,
            b'304 \r\ntransfer-encoding: chunked\r\n': BodyFraming.NONE,
        }
        for head, framing in framing_by_head.items():
            with self.subTest(head):
                parsed = _parse(b'HTTP/1.1 %s\r\n' % head)
                self.assertIs(parsed.framing, framing)

    def test_content_without_a_valid_place_is_malformed(self) -> None:
        """Guards against content that is taken for the next response."""
        rests = (
            b'1 204 \r\ncontent-length: 1\r\n\r\n',
            b'1 204 \r\ntransfer-encoding: chunked\r\n\r\n',
            b'1 205 \r\ncontent-length: 1\r\n\r\n',
            b'0 200 \r\ntransfer-encoding: chunked\r\n\r\n',
            b'1 200 \r\ntransfer-encoding: gzip\r\n\r\n',
            b'1 200 \r\ntransfer-encoding: gzip, chunked\r\n\r\n',
            b'1 200 \r\ntransfer-encoding: chunked, gzip\r\n\r\n',
            b'1 200 \r\ntransfer-encoding: ,chunked\r\n\r\n',
            b'1 200 \r\ntransfer-encoding: identity\r\n\r\n',
        )
        for rest in rests:
            with self.subTest(rest), self.assertRaises(MalformedResponseError):
                ResponseHeadParser().feed(b'HTTP/1.%s' % rest)

    def test_connection_stays_open_only_if_nothing_closes_it(self) -> None:
        """Guards against sending on a connection that the server closes."""
        lines = (b'', b'connection: close\r\n', b'connection: a,Close\r\n')
        keeps_open = []
        for version, line in itertools.product((b'1', b'0'), lines):
            head = b'HTTP/1.%s 200 \r\ncontent-length: 0\r\n%sconnection: x\r\n\r\n'
            keeps_open.append(_parse(head % (version, line)).keeps_open)
        self.assertEqual(keeps_open, [True, *itertools.repeat(False, 5)])

    @settings(derandomize=True, max_examples=500)
    @given(st.integers(0, len(_BASE) - 1), st.integers(0, 1), _BYTES)
    def test_pieces_do_not_change_the_result(
        self, position: int, removed: int, inserted: int
    ) -> None:
        """Guards against a head that is valid only in some pieces."""
        rest = _BASE[position + removed :]
        changed = _BASE[:position] + bytes((inserted,)) + rest
        whole = _parse_pieces([changed])
        single_bytes = [bytes((one,)) for one in changed]
        self.assertEqual(_parse_pieces(single_bytes), whole)

    def test_bytes_after_the_head_are_kept(self) -> None:
        """Guards against a body that lacks its first bytes."""
        parser = ResponseHeadParser()
        parser.feed(_RESPONSE)
        self.assertEqual(parser.take_rest(), b'ok')
        self.assertFalse(parser.is_started)


class HeadCostTests(TestCase):
    """The cost of a head grows with its bytes, however they arrive."""

    def test_line_is_searched_once(self) -> None:
        """Guards against a search of the whole line at each byte.

        A head of 64 KB that arrived byte by byte took 75 s of processor time.
        """
        searched = _CountingPattern()
        parser = ResponseHeadParser()
        name = 'jacinthcart.wire._head._FORBIDDEN_BYTES'
        with mock.patch(name, searched):
            parser.feed(b'HTTP/1.1 200 OK\r\nx: ')
            for _ in range(5000):
                parser.feed(b'a')
        self.assertLess(searched.total_bytes, 4 * 5000)

    def test_headers_beyond_the_maximum_are_not_parsed(self) -> None:
        """Guards against the cost of all lines that arrived at once."""
        parser = ResponseHeadParser()
        with self.assertRaisesRegex(MalformedResponseError, 'too many'):
            parser.feed(b'HTTP/1.1 200 OK\r\n%b' % (b'a:\r\n' * 10_000))
        self.assertLess(len(parser._headers), 600)


class _CountingPattern:
    """Counts the bytes that a search for forbidden bytes looks at."""

    def __init__(self) -> None:
        """Start without a search."""
        self.total_bytes = 0

    def search(self, line: bytearray, start: int = 0) -> None:
        """Count the bytes; none of them is forbidden."""
        self.total_bytes += len(line) - start
