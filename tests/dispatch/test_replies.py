"""Tests that only replies that match their request are merged."""

import dataclasses
import unittest

from jacinthcart.dispatch import (
    SearcherReply,
    SearchMessage,
    Snapshot,
    WrongReplyError,
    parse_reply,
)
from jacinthcart.wire import encode_json
from tests.dispatch.support import Fleet, make_call, run_virtual

MESSAGE = SearchMessage('sub-1', 'request', Snapshot(7, 3), (0, 1), {})
REPLY = {
    'sub_id': 'sub-1',
    'generation': 'g1',
    'state': 'warm',
    'load': 0,
    'index_version': 7,
    'partition_map': 3,
    'results': {'0': [], '1': []},
}


def _replace_sub_id(reply: SearcherReply) -> SearcherReply:
    return dataclasses.replace(reply, sub_id='another')


def _replace_snapshot(reply: SearcherReply) -> SearcherReply:
    return dataclasses.replace(reply, snapshot=Snapshot(6, 3))


def _drop_shard(reply: SearcherReply) -> SearcherReply:
    return dataclasses.replace(reply, hits_by_shard={0: []})


class ReplyTest(unittest.TestCase):
    """A reply is used only for the request that it answers."""

    def test_changed_body_is_a_wrong_reply(self) -> None:
        """Guards against merging results of another request or snapshot.

        Also covers missing and additional shards.
        """
        changes = (
            {'sub_id': 'sub-2'},
            {'index_version': 6},
            {'partition_map': 2},
            {'results': {'0': []}},
            {'results': {'0': [], '1': [], '2': []}},
            {'results': None},
        )
        parse_reply(MESSAGE, 200, encode_json(REPLY))
        for change in changes:
            with self.subTest(change), self.assertRaises(WrongReplyError):
                parse_reply(MESSAGE, 200, encode_json({**REPLY, **change}))

    def test_truncated_body_is_a_wrong_reply(self) -> None:
        """Guards against a decoding exception ending the process."""
        with self.assertRaises(WrongReplyError):
            parse_reply(MESSAGE, 200, encode_json(REPLY)[:-5])

    def test_refusal_of_another_request_is_a_wrong_reply(self) -> None:
        """Guards against reporting `not_run` for another request's refusal."""
        body = encode_json({**REPLY, 'code': 'shed', 'sub_id': 'sub-2'})
        with self.assertRaises(WrongReplyError):
            parse_reply(MESSAGE, 503, body)

    def test_dispatcher_discards_wrong_replies(self) -> None:
        """Guards against a wrong reply entering the result."""

        async def scenario() -> None:
            for change in (_replace_sub_id, _replace_snapshot, _drop_shard):
                fleet = Fleet()
                for searcher in fleet.searchers.values():
                    searcher.change_reply = change
                part = await fleet.dispatchers[0].run_part(make_call())
                self.assertEqual(part.hits_by_shard, {})
                self.assertEqual(set(part.missing.values()), {'failed'})
                counted = fleet.metrics[0].counts_by_key
                self.assertEqual(counted['wrong_reply', 'team/katalog'], 3)

        run_virtual(scenario)

    def test_late_reply_is_not_merged(self) -> None:
        """Guards against merging results that arrive after the deadline."""

        async def scenario() -> None:
            fleet = Fleet()
            for searcher in fleet.searchers.values():
                searcher.latency_s = 2
            part = await fleet.dispatchers[0].run_part(make_call(deadline_s=1))
            self.assertEqual(part.hits_by_shard, {})
            self.assertEqual(part.missing, {0: 'timeout', 1: 'timeout'})

        run_virtual(scenario)

    def test_held_versions_of_refusing_searchers_are_reported(self) -> None:
        """Guards against a rerun that does not know the available versions."""

        async def scenario() -> None:
            fleet = Fleet()
            for searcher in fleet.searchers.values():
                searcher.versions = frozenset((6,))
            part = await fleet.dispatchers[0].run_part(make_call())
            self.assertEqual(part.other_versions, {6})
            self.assertEqual(
                part.missing, dict.fromkeys((0, 1), 'wrong_version')
            )

        run_virtual(scenario)
