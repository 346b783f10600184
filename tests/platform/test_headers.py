"""Tests of decoding requests and encoding answers."""

import unittest

from jacinthcart.errors import (
    InvalidMessageError,
    Ran,
    RefusalCode,
    RefusalError,
)
from jacinthcart.front import RawRequest
from jacinthcart.platform._headers import (
    PlatformSearcherCodec,
    decode_request,
    encode_refusal,
)
from jacinthcart.routing import LoadReport, ResponseHead, SearcherResponse


def create_raw(*extra: tuple[bytes, bytes]) -> RawRequest:
    """Return a caller's request."""
    headers = (
        (b'host', b'Shop.example:80'),
        (b'x-jacinthcart-request-id', b'9c41'),
        (b'x-jacinthcart-deadline-ms', b'500'),
        (b'x-jacinthcart-credential', b'secret'),
    )
    return RawRequest('GET', b'/a/b?c=1', (*headers, *extra), b'', 10.0, True)


class DecodeRequestTests(unittest.TestCase):
    """Headers are decoded into fields."""

    def test_fields_are_decoded(self) -> None:
        """The deadline is absolute, and the path has no query string."""
        request = decode_request(create_raw())
        self.assertEqual(request.deadline, 10.5)
        self.assertEqual(request.path, '/a/b')
        self.assertEqual(request.target, '/a/b?c=1')
        self.assertEqual(request.host, 'shop.example')

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        """Guards against forwarding headers of the caller's connection.

        Those that `Connection` lists are not forwarded either.
        """
        request = decode_request(
            create_raw((b'connection', b'x-own, close'), (b'x-own', b'1')),
        )
        names = {name for name, _ in request.headers}
        self.assertEqual(names, {b'host', b'x-jacinthcart-request-id'})

    def test_every_connection_header_counts(self) -> None:
        """Guards against forwarding what a second one lists."""
        request = decode_request(
            create_raw(
                (b'connection', b'keep-alive'),
                (b'connection', b'X-Own,Upgrade'),
                (b'upgrade', b'h2c'),
                (b'http2-settings', b'AAMA'),
                (b'x-own', b'1'),
            ),
        )
        names = {name for name, _ in request.headers}
        self.assertEqual(names, {b'host', b'x-jacinthcart-request-id'})

    def test_callers_can_not_set_the_workspace(self) -> None:
        """Guards against callers that act as another workspace."""
        request = decode_request(create_raw((b'x-jacinthcart-tenant', b'evil')))
        names = {name for name, _ in request.headers}
        self.assertNotIn(b'x-jacinthcart-tenant', names)

    def test_repeated_identity_headers_are_errors(self) -> None:
        """Guards against a searcher that uses the other host or id."""
        for name in (b'host', b'x-jacinthcart-request-id'):
            with self.assertRaises(InvalidMessageError):
                decode_request(create_raw((name, b'other')))

    def test_unreadable_deadline_is_an_error(self) -> None:
        """A malformed number must not be replaced by a default."""
        raw = create_raw()
        for deadline in (b'soon', b'inf', b'-inf', b'nan', b'9' * 400):
            headers = tuple(
                (name, deadline if name.endswith(b'-ms') else content)
                for name, content in raw.headers
            )
            with self.assertRaises(InvalidMessageError, msg=deadline):
                decode_request(RawRequest('GET', b'/', headers, b'', 0, True))


class SearcherCodecTests(unittest.TestCase):
    """Searchers receive the caller's request without its API key."""

    def setUp(self) -> None:
        """Create a codec."""
        self.codec = PlatformSearcherCodec()

    def test_request_names_searcher_and_workspace_but_no_key(self) -> None:
        """A searcher at a reused address must be able to refuse."""
        message = self.codec.encode_request(
            decode_request(create_raw()),
            'i-7',
            0.25,
            'mill',
        ).lower()
        self.assertIn(b'x-jacinthcart-expected-instance: i-7', message)
        self.assertIn(b'x-jacinthcart-tenant: mill', message)
        self.assertIn(b'x-jacinthcart-deadline-ms: 250', message)
        self.assertNotIn(b'secret', message)

    def test_misdirected_request_has_not_run(self) -> None:
        """Status 421 means that another searcher has the address."""
        response = self.codec.decode_response(ResponseHead(421, ()), b'')
        self.assertTrue(response.is_not_run)

    def test_only_some_failures_may_be_passed_on(self) -> None:
        """Guards against a promise to callers that no searcher made."""
        not_executed = ((b'x-jacinthcart-not-executed', b'1'),)
        for status in (302, 400, 404, 500, 504):
            response = self.codec.decode_response(ResponseHead(status, ()), b'')
            self.assertTrue(response.is_failure, status)
        for status in (408, 429, 503):
            for headers in ((), not_executed):
                head = ResponseHead(status, headers)
                response = self.codec.decode_response(head, b'')
                self.assertFalse(response.is_failure, status)
                self.assertIs(response.is_not_run, bool(headers))

    def test_repeated_id_or_stamp_does_not_count(self) -> None:
        """Guards against a response of which two requests could be meant."""
        head = ResponseHead(
            200,
            (
                (b'x-jacinthcart-request-id', b'1'),
                (b'x-jacinthcart-request-id', b'2'),
                (b'x-jacinthcart-server-stamp', b'a'),
                (b'x-jacinthcart-server-stamp', b'b'),
            ),
        )
        self.assertIsNone(self.codec.find_request_id(head))
        self.assertIsNone(self.codec.decode_response(head, b'').stamp)

    def test_success_without_a_stamp_is_not_accepted(self) -> None:
        """Guards against accepting a response that no searcher sent."""
        response = self.codec.decode_response(ResponseHead(200, ()), b'')
        self.assertFalse(response.is_success)

    def test_load_and_idle_timeout_are_decoded(self) -> None:
        """Malformed hints are ignored."""
        head = ResponseHead(
            200,
            (
                (b'x-jacinthcart-server-load', b'3,0,8'),
                (b'keep-alive', b'timeout=7'),
            ),
        )
        response = self.codec.decode_response(head, b'')
        self.assertEqual(response.load, LoadReport(3, 0, 8))
        self.assertFalse(response.has_malformed_load)
        self.assertEqual(response.idle_timeout_s, 7)
        broken = ResponseHead(200, ((b'x-jacinthcart-server-load', b'3,a'),))
        self.assertIsNone(self.codec.decode_response(broken, b'').load)

    def test_slowdown_is_decoded(self) -> None:
        """Guards against dropping the load because of its fourth figure.

        Further figures are ignored.
        """
        for content in (b'3,0,8,250', b'3, 0, 8, 250', b'3,0,8,250,x,7'):
            response = self._decode_load(content)
            self.assertEqual(response.load, LoadReport(3, 0, 8, 2.5))
            self.assertFalse(response.has_malformed_load)

    def test_malformed_slowdown_leaves_the_other_figures(self) -> None:
        """Guards against losing the queue length with the slowdown."""
        for figure in (b'', b'0', b'-5', b'2.5', b'nan', b'1e9', b'9' * 700):
            response = self._decode_load(b'3,0,8,%s' % figure)
            self.assertEqual(response.load, LoadReport(3, 0, 8), figure)
            self.assertTrue(response.has_malformed_load, figure)

    def test_malformed_load_is_ignored(self) -> None:
        """Guards against exceptions and against loads without a bound."""
        cases = (
            b'',
            b'3,0',
            b'3,0,',
            b'-3,0,8',
            b'3,+1,8',
            b'3,0,1_0',
            b'3,0,8.0,100',
            '3,0,\u0663'.encode(),
            b'3,9999999,8',
            b'%s,0,8,100' % (b'9' * 700),
        )
        for content in cases:
            response = self._decode_load(content)
            self.assertIsNone(response.load, content)
            self.assertTrue(response.has_malformed_load, content)

    def test_statements_of_searchers_are_decoded(self) -> None:
        """Only the documented value means that the searcher leaves."""
        for content, expected in ((b'1', True), (b'0', False), (b'', False)):
            for name in (b'server-leaving', b'x-jacinthcart-server-leaving'):
                head = ResponseHead(200, ((name, content),))
                response = self.codec.decode_response(head, b'')
                self.assertIs(response.is_leaving, expected)

    def test_unusable_retry_delays_are_ignored(self) -> None:
        """Guards against a delay from a malformed or negative value."""
        cases = (
            (503, b'1.5', 1.5),
            (503, b'-3', None),
            (503, b'0', None),
            (503, b'soon', None),
            (503, b'nan', None),
            (503, b'Sat, 05 Dec 2026 08:00:00 GMT', None),
            (200, b'3', None),
        )
        for status, content, expected in cases:
            head = ResponseHead(status, ((b'retry-after', content),))
            response = self.codec.decode_response(head, b'')
            self.assertEqual(response.retry_after_s, expected, content)

    def _decode_load(self, content: bytes) -> SearcherResponse:
        head = ResponseHead(200, ((b'x-jacinthcart-server-load', content),))
        return self.codec.decode_response(head, b'')


class EncodeRefusalTests(unittest.TestCase):
    """A status that promises `not run` is used only if it is known."""

    def test_unknown_outcome_never_promises(self) -> None:
        """Guards against callers repeating a request that may have run."""
        for code in RefusalCode:
            if code in {RefusalCode.OVER_RATE}:
                continue
            response = encode_refusal(RefusalError(code, Ran.UNKNOWN))
            self.assertNotIn(response.status, {408, 421, 429, 503}, code)

    def test_refusal_before_any_send_has_a_retry_delay(self) -> None:
        """Guards against a delay in ms; Retry-After is in seconds."""
        refusal = RefusalError(RefusalCode.NOT_READY, retry_after_ms=300)
        response = encode_refusal(refusal)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers, ((b'Retry-After', b'0.300'),))
