"""Tests of invalid requests, which the entry refuses itself."""

import json
import unittest
from typing import Any

import httpx
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.entry._messages import parse_query_message
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.wire import decode_json, encode_json
from tests.entry._harness import (
    AUTHORIZED,
    KEYS_PATH,
    OPEN,
    OTHER_TEAM_KEY,
    SEARCH,
    SUBMIT,
    Harness,
    read_refusal,
    run_virtual,
)


class BadInputTest(unittest.TestCase):
    """Invalid input gets a typed refusal and is not sent to gather."""

    def check(
        self,
        code: RefusalCode,
        status: int,
        *,
        path: str = SEARCH,
        headers: Any = AUTHORIZED,
        body: bytes = b'{"query": {}}',
    ) -> None:
        """Send one request and check its refusal."""

        async def test(harness: Harness) -> None:
            response = await harness.client.post(
                path,
                headers=headers,
                content=body,
            )
            self.assertEqual(read_refusal(response), (code, Ran.NOT_RUN))
            self.assertEqual(response.status_code, status)
            self.assertEqual(harness.gather.queries, [])
            self.assertEqual(harness.permits.requested_workspaces, [])

        run_virtual(test)

    def test_bodies_that_violate_the_model(self) -> None:
        """Guards against accepting a malformed body or failing on it."""
        bodies = (
            b'',
            b'{',
            b'[]',
            b'{"query": {"a": NaN}}',
            b'{"query": {"a": "\xff"}}',
            b'{"query": []}',
            b'{"query": {}, "surprise": 1}',
            b'{"query": {}, "deadline_ms": 0}',
            b'{"query": {}, "deadline_ms": "5"}',
            b'{"query": {}, "deadline_ms": true}',
            b'{"query": {}, "request_id": ""}',
            b'{"query": {}, "request_id": "a b"}',
            rb'{"query": {}, "request_id": "a\n"}',
            b'{"query": {}, "request_id": "%s"}' % (b'a' * 201),
            b'{"query": {"a": %s1%s}}' % (b'[' * 64, b']' * 64),
        )
        for body in bodies:
            with self.subTest(body=body[:40]):
                self.check(RefusalCode.INVALID_REQUEST, 400, body=body)

    def test_malformed_authorization_headers(self) -> None:
        """Guards against accepting part of a malformed header."""
        fields: tuple[Any, ...] = (
            [(b'authorization', b'Bearer')],
            [(b'authorization', b'Basic abc')],
            [(b'authorization', b'Bearer a b')],
            [(b'authorization', b'Bearer \xff')],
            [(b'authorization', b'Bearer a'), (b'authorization', b'Bearer b')],
            [(b'authorization', b'Bearer a'), (b'x-note', b'\xff')],
        )
        for headers in fields:
            with self.subTest(headers=headers):
                self.check(RefusalCode.INVALID_REQUEST, 400, headers=headers)

    def test_missing_key(self) -> None:
        """Guards against serving a route that requires a key without one."""
        self.check(RefusalCode.KEY_MISSING, 401, headers={})

    def test_unknown_key(self) -> None:
        """Guards against accepting an unknown well-formed key."""
        headers = {'authorization': 'Bearer guess'}
        self.check(RefusalCode.KEY_INVALID, 401, headers=headers)

    def test_key_of_another_team(self) -> None:
        """Guards against accepting a key on another team's routes."""
        headers = {'authorization': f'Bearer {OTHER_TEAM_KEY}'}
        self.check(RefusalCode.WORKSPACE_MISMATCH, 403, headers=headers)

    def test_workspace_other_than_the_keys(self) -> None:
        """Guards against a request for a workspace other than the key's."""
        body = b'{"query": {}, "workspace": "voskovka/web"}'
        self.check(RefusalCode.WORKSPACE_MISMATCH, 403, body=body)
        body = b'{"query": {}, "workspace": "voskovka/praha"}'
        self.check(RefusalCode.WORKSPACE_MISMATCH, 403, path=OPEN, body=body)

    def test_unknown_route(self) -> None:
        """Guards against an internal error for an unknown route."""
        path = '/v1/teams/voskovka/routes/neznama'
        self.check(RefusalCode.UNKNOWN_ROUTE, 404, path=path)
        self.check(RefusalCode.UNKNOWN_ROUTE, 404, path='/v2')

    def test_body_above_the_limit(self) -> None:
        """Guards against accepting bodies above the route's limit."""
        body = b'{"query": {"a": "%s"}}' % (b'a' * 1000)
        self.check(RefusalCode.BODY_TOO_LARGE, 413, body=body)

    def test_submit_id_in_another_format(self) -> None:
        """Guards against accepting a submit id without a home VM."""
        for request_id in (b'caller.1f', b'vm1.inc.x.1', b'vm1.i.1'):
            body = b'{"query": {}, "request_id": "%s"}' % request_id
            self.check(
                RefusalCode.INVALID_REQUEST,
                400,
                path=SUBMIT,
                body=body,
            )


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=5,
)
MESSAGES = st.fixed_dictionaries(
    {'query': st.dictionaries(st.text(max_size=4), JSON_VALUES)},
    optional={
        'request_id': st.sampled_from((None, 'a.1', 'a b', 5)),
        'deadline_ms': st.none() | st.integers(),
        'workspace': st.sampled_from((None, 'a/b', 5)),
    },
)


class ParsingTest(unittest.TestCase):
    """Any body is either a valid message or a typed refusal."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.binary() | MESSAGES.map(lambda sent: json.dumps(sent).encode()))
    def test_any_body(self, body: bytes) -> None:
        """Guards against a body that fails later, or alters its query."""
        try:
            message = parse_query_message(body)
        except RefusalError as refusal:
            self.assertIs(refusal.code, RefusalCode.INVALID_REQUEST)
            return
        passed_on = decode_json(encode_json(message.query))
        self.assertEqual(passed_on, decode_json(body)['query'])
        self.assertGreaterEqual(message.deadline_ms or 1, 1)


class CountedBody(httpx.AsyncByteStream):
    """A body without content length that counts the chunks read."""

    def __init__(self) -> None:
        """Start with no chunk read."""
        self.chunks_read = 0

    def __aiter__(self) -> 'CountedBody':
        """Return the iterator itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next of 100 chunks of 1 MiB."""
        if self.chunks_read == 100:
            raise StopAsyncIteration
        self.chunks_read += 1
        return b'a' * 1024 * 1024


class BodyReadingTest(unittest.TestCase):
    """The entry does not read bodies far beyond the route's limit."""

    def test_large_body_is_not_read_to_its_end(self) -> None:
        """Guards against a body without length that exhausts the memory."""
        body = CountedBody()

        async def test(harness: Harness) -> None:
            response = await harness.client.send(
                httpx.Request(
                    'POST',
                    f'http://entry{SEARCH}',
                    headers=AUTHORIZED,
                    stream=body,
                ),
            )
            self.assertEqual(response.status_code, 413)
            self.assertEqual(response.headers['connection'], 'close')

        run_virtual(test)
        self.assertLess(body.chunks_read, 12)

    def test_key_revoked_between_two_requests(self) -> None:
        """Guards against a revoked key staying valid on its connection."""

        async def test(harness: Harness) -> None:
            response = await harness.send_query()
            self.assertEqual(response.status_code, 200)
            harness.feed.put({KEYS_PATH: {'sha256_digests': []}})
            self.assertEqual(
                await harness.get_refusal(),
                (RefusalCode.KEY_INVALID, Ran.NOT_RUN),
            )

        run_virtual(test)
