"""Tests of the parser of requests."""

from unittest import TestCase, mock

import anyio

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front import CallerMemory, CallerMemoryParameters
from jacinthcart.front._memory import BaseAccountHolder
from jacinthcart.front._parser import PartParser, RequestParser
from jacinthcart.streams import ProcessingBudget, ProcessingParameters
from jacinthcart.telemetry import Metrics, create_logger

_LIMIT_BYTES = 1024
_PIECE = b'x' * 64
_START = b'POST /u HTTP/1.1\r\nHost: h\r\n'
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n0' % _START
#: Starts of requests that end in the target, a header name, a header, a chunk
#: and the trailer.
_STARTS = (
    b'GET /',
    _START,
    b'%bX: ' % _START,
    b'%b;' % _CHUNKED,
    b'%b\r\nX: ' % _CHUNKED,
)
_UPLOAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % _START
_UPLOAD_BYTES = 262_144


class RequestParserTests(TestCase):
    """The parser holds no more of a request than the limits allow."""

    def test_head_or_trailer_without_an_end_is_refused(self) -> None:
        """Guards against memory that grows with all that a caller sends."""
        for start in _STARTS:
            parser = _create_parser()
            parser.feed(start)
            for _ in range(2 * _LIMIT_BYTES // len(_PIECE)):
                parser.feed(_PIECE)
            self.assertEqual(parser.violation_status, 431, start)

    def test_head_of_the_greatest_size_is_accepted_in_pieces(self) -> None:
        """Guards against a limit that depends on how a head arrives."""
        # Each header counts with 4 bytes besides its name and content.
        counted = len(b'/u') + len(b'Host') + len(b'h') + len(b'X') + 8
        content = b'x' * (_LIMIT_BYTES - counted)
        message = b'%bX: %b\r\n\r\n' % (_START, content)
        for piece_bytes in (1, len(message)):
            parser = _create_parser()
            for start in range(0, 2 * len(message), piece_bytes):
                parser.feed((message * 2)[start : start + piece_bytes])
            self.assertEqual(parser.violation_status, 0)
            self.assertEqual(len(parser.completed), 2)

    def test_bytes_of_an_incomplete_header_are_counted(self) -> None:
        """Guards against memory that callers hold and no one counts."""
        parser = _create_parser()
        parser.feed(b'%bX: ' % _START)
        counted = parser.account.incoming_bytes
        parser.feed(_PIECE)
        self.assertEqual(parser.account.incoming_bytes, counted + len(_PIECE))


class PartParserTests(TestCase):
    """Parts are parsed in turns if they have many pieces for their bytes."""

    def test_small_chunks_are_parsed_in_turns(self) -> None:
        """Guards against chunks that are few in each slice and not limited."""
        for chunk_bytes in (1, 22, 60, 110):
            with self.subTest(chunk_bytes):
                limited = anyio.run(_measure_limited_part, chunk_bytes)
                self.assertGreater(limited, 0.75)

    def test_large_chunks_take_no_turns(self) -> None:
        """Guards against uploads that wait although they cost little."""
        for chunk_bytes in (1024, 4096):
            limited = anyio.run(_measure_limited_part, chunk_bytes)
            self.assertEqual(limited, 0)


async def _measure_limited_part(chunk_bytes: int) -> float:
    """Return the part of an upload that is parsed in turns, from 0 to 1."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    message = _UPLOAD + chunk * (_UPLOAD_BYTES // len(chunk))
    params = ProcessingParameters(processor_share=1_000_000)
    processing = ProcessingBudget(params).open('caller')
    parts = PartParser(_create_parser(_UPLOAD_BYTES), processing)
    parsed_bytes = 0
    while parsed_bytes < len(message):
        parsed_bytes = await parts.parse(message, parsed_bytes)
    return processing.limited_bytes / len(message)


def _create_parser(max_body_bytes: int = 2048) -> RequestParser:
    limits = FrontLimits(_LIMIT_BYTES, max_body_bytes, 0.3, 5)
    memory = CallerMemory(
        CallerMemoryParameters(10_000_000, 10_000_000),
        float,
        Metrics(),
        create_logger('test'),
    )
    holder = mock.create_autospec(BaseAccountHolder, instance=True)
    return RequestParser(float, lambda: limits, memory.open(holder))
