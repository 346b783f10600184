"""Tests of who gives way when the memory for callers is full."""

from unittest import TestCase, mock

from jacinthcart.front import CallerMemory, CallerMemoryParameters
from jacinthcart.front._memory import BaseAccountHolder, ConnectionAccount
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import ManualClock


class CallerMemoryTests(TestCase):
    """What costs callers least gives way; the load is slow callers."""

    def setUp(self) -> None:
        """Create a limit of 100 bytes and three connections.

        Requests are read up to 75 bytes.
        """
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.memory = CallerMemory(
            CallerMemoryParameters(100, 3 * 20 * 1024, 0.75, 2),
            self.clock,
            self.metrics,
            create_logger('test'),
        )
        #: What gave way, in order.
        self.given_way: list[tuple[str, str]] = []

    def open(self, name: str) -> ConnectionAccount:
        """Return the account of a connection that records its giving way."""
        holder = mock.create_autospec(BaseAccountHolder, instance=True)
        record = self.given_way.append
        holder.refuse_incoming.side_effect = lambda: record((name, 'refused'))
        holder.abort.side_effect = lambda: record((name, 'closed'))
        return self.memory.open(holder)

    def test_largest_incomplete_request_is_refused(self) -> None:
        """Guards against refusing small requests for the sake of a large."""
        for name, received in (('a', 10), ('b', 40), ('c', 30)):
            self.open(name).receive(received)
        self.assertEqual(self.given_way, [('b', 'refused')])
        self.assertEqual(self.memory.held_bytes, 40)

    def test_complete_request_is_kept(self) -> None:
        """Guards against refusing a request that is running."""
        complete = self.open('a')
        complete.receive(70)
        complete.complete_incoming()
        self.open('b').receive(10)
        self.assertEqual(self.given_way, [('b', 'refused')])
        self.assertEqual(self.memory.held_bytes, 70)

    def test_unread_answer_gives_way_after_a_while_only(self) -> None:
        """Guards against refusals for as long as callers do not read."""
        slow = self.open('slow')
        slow.start_answer(70)
        self.open('early').receive(10)
        self.clock.advance(1.5)
        slow.record_progress()
        self.clock.advance(1.5)
        self.open('soon').receive(10)
        self.clock.advance(0.5)
        self.open('late').receive(10)
        self.assertEqual(
            self.given_way,
            [
                ('early', 'refused'),
                ('soon', 'refused'),
                ('slow', 'closed'),
            ],
        )
        self.assertEqual(self.memory.held_bytes, 10)
        self.assertEqual(
            self.metrics.counts_by_key[('caller_memory', 'refused')], 2
        )

    def test_limit_is_kept_for_answers(self) -> None:
        """Guards against answers that exceed the limit together."""
        first = self.open('first')
        first.start_answer(60)
        self.clock.advance(1)
        self.open('second').start_answer(30)
        first.record_progress()
        self.open('third').start_answer(30)
        self.assertEqual(self.given_way, [('second', 'closed')])
        self.assertEqual(self.memory.held_bytes, 90)

    def test_closed_connection_holds_nothing(self) -> None:
        """Guards against an account that fills up over time."""
        account = self.open('a')
        account.receive(20)
        account.complete_incoming()
        account.start_answer(20)
        account.receive(20)
        account.close()
        account.release_answer()
        self.assertEqual(self.memory.held_bytes, 0)
        self.open('b').receive(70)
        self.assertEqual(self.given_way, [])

    def test_least_recently_used_connection_is_closed(self) -> None:
        """Guards against a process that idle connections fill up."""
        first, second, third = (self.open(name) for name in 'abc')
        first.receive(10)
        first.complete_incoming()
        second.receive(10)
        second.complete_incoming()
        second.release_complete(10)
        self.open('d')
        self.assertEqual(self.given_way, [('c', 'closed')])
        third.close()
        self.open('e')
        self.assertEqual(self.given_way[1:], [('b', 'closed')])

    def test_connections_with_requests_are_kept(self) -> None:
        """Guards against closing a connection whose request is running."""
        for name in 'abc':
            self.open(name).receive(10)
        self.open('d')
        self.assertEqual(self.given_way, [])
