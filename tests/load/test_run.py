"""Tests of scheduled sending and of statistics, in virtual time."""

import unittest

import anyio
import httpx
import trio
from trio.testing import MockClock

from jacinthcart.caller import (
    Answer,
    DeadlineError,
    RefusedError,
    UnreachableError,
)
from jacinthcart.errors import Ran, RefusalCode
from jacinthcart.load import (
    EntryAddress,
    LoadRun,
    RecordingTransport,
    RequestResult,
    create_arrivals,
    summarize,
)
from tests.load.samples import (
    make_answer,
    make_arrival,
    make_experiment,
    make_result,
)

PINNED = EntryAddress(address='127.0.0.1', port=1)


class SlowCaller:
    """Answers or fails after a delay."""

    def __init__(self, answer_s: float, error: Exception | None = None) -> None:
        """Create a caller that answers `answer_s` seconds after a request."""
        self._answer_s = answer_s
        self._error = error

    async def search(self, route, query, deadline_ms) -> Answer:
        """Answer with the query text as request id."""
        await anyio.sleep(self._answer_s)
        if self._error is not None:
            raise self._error
        return make_answer(request_id=query['text'])

    lookup = search
    submit = search


def run_virtual(caller: SlowCaller, **fields) -> list[RequestResult]:
    """Run the sample experiment with a caller."""
    run = LoadRun(
        make_experiment(**fields),
        {'team/one': caller},
        trio.current_time,
    )
    return anyio.run(
        run.run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


class LoadRunTest(unittest.TestCase):
    """Requests are sent on schedule, however the fleet behaves."""

    def test_slow_answers_delay_no_arrival(self) -> None:
        """Guards against load that drops when the fleet slows down."""
        results = run_virtual(SlowCaller(answer_s=3))
        arrivals = list(create_arrivals(make_experiment()))
        self.assertEqual([result.arrival for result in results], arrivals)
        for result in results:
            self.assertAlmostEqual(result.sent_s, result.arrival.at_s)
            self.assertAlmostEqual(result.latency_s, 3)

    def test_latency_counts_from_the_scheduled_start(self) -> None:
        """Guards against omitting the delay before a request was sent."""
        late = make_result(
            arrival=make_arrival(at_s=1),
            sent_s=2,
            received_s=2.5,
        )
        self.assertEqual(late.latency_s, 1.5)
        self.assertAlmostEqual(summarize([late]).p50_ms, 1500, delta=15)

    def test_excess_in_flight_is_recorded(self) -> None:
        """Guards against requests missing from the statistics."""
        results = run_virtual(SlowCaller(answer_s=60), max_in_flight=5)
        statistics = summarize(results)
        self.assertEqual(statistics.answered, 5)
        self.assertEqual(
            statistics.failures_by_outcome,
            {'not_sent': len(results) - 5},
        )

    def test_outcomes_are_classified(self) -> None:
        """Guards against a refusal counted as another failure."""
        refused = RefusedError(RefusalCode.OVER_RATE, Ran.NOT_RUN, '', None, ())
        cases = (
            (refused, 'over_rate'),
            (DeadlineError('x'), 'deadline'),
            (UnreachableError('x'), 'unreachable'),
        )
        for error, name in cases:
            results = run_virtual(SlowCaller(0, error), max_requests=1)
            self.assertEqual(results[0].outcome, name)
            self.assertEqual(results[0].ran, 'not_run')


class PinnedEntryTest(unittest.TestCase):
    """Addresses answers for a pinned workspace list only its entry."""

    def test_addresses_list_only_the_pinned_entry(self) -> None:
        """Guards against load sent to a VM other than the pinned one."""
        transport = RecordingTransport(PINNED)
        listed = {
            'addresses': [{'address': '127.0.0.2', 'port': 2}],
            'keep_for_ms': 5,
        }
        transport._transport = httpx.MockTransport(
            lambda request: httpx.Response(200, json=listed),
        )

        async def fetch() -> httpx.Response:
            async with httpx.AsyncClient(transport=transport) as client:
                return await client.get('http://127.0.0.1:1/v1/addresses')

        message = anyio.run(fetch).json()
        self.assertEqual(
            message['addresses'],
            [{'address': '127.0.0.1', 'port': 1}],
        )
        self.assertEqual(message['keep_for_ms'], 5)
