"""Tests of the emulated searcher."""

import random
import unittest
from typing import Any

import anyio
from trio.testing import MockClock

from jacinthcart_emulator import SearcherFault, SearcherSpec
from jacinthcart_emulator._searcher import EmulatedSearcher


def _message(sub_id: str) -> dict[str, Any]:
    return {
        'sub_id': sub_id,
        'request_id': 'request',
        'index_version': 1,
        'partition_map': 1,
        'shards': [0],
        'query': {'q': 'blue'},
        'submit': True,
    }


def _searcher(**fields: Any) -> EmulatedSearcher:
    spec = SearcherSpec(
        id='s',
        address='127.0.0.1',
        port=1,
        shards=(0,),
        **fields,
    )
    return EmulatedSearcher(spec, random.Random(1))


async def _search_many(
    searcher: EmulatedSearcher,
    count: int,
) -> list[tuple[int, dict[str, Any]]]:
    replies = []

    async def search(number: int) -> None:
        replies.append(await searcher.search(_message(str(number)), 1000))

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(search, number)
    return replies


def _run(searcher: EmulatedSearcher, count: int) -> list[int]:
    replies = anyio.run(
        _search_many,
        searcher,
        count,
        backend='trio',
        backend_options={
            'clock': MockClock(autojump_threshold=0),
        },
    )
    return sorted(status for status, _ in replies)


class EmulatedSearcherTest(unittest.TestCase):
    """The searcher's counters expose errors of the query tier."""

    def test_cold_searcher_refuses_and_counts_excess_requests(self) -> None:
        """Guards against an undetected overload of a cold searcher."""
        searcher = _searcher(cold=True)
        self.assertEqual(_run(searcher, 3), [200, 503, 503])
        self.assertEqual(searcher.describe()['cold_overruns'], 2)

    def test_searcher_is_warm_after_enough_requests(self) -> None:
        """Guards against a cold start that never ends."""
        searcher = _searcher(cold=True, warm_after_requests=1)
        _run(searcher, 1)
        self.assertFalse(searcher.is_cold)

    def test_second_run_of_a_submit_is_counted(self) -> None:
        """Guards against an undetected second run of a submit."""
        searcher = _searcher()
        _run(searcher, 2)
        self.assertEqual(searcher.describe()['submits_run_twice'], 1)

    def test_draining_searcher_runs_nothing(self) -> None:
        """Guards against a drain fault that has no effect."""
        searcher = _searcher()
        searcher.apply_fault(SearcherFault(searcher='s', draining=True))
        self.assertEqual(_run(searcher, 1), [503])
        self.assertEqual(searcher.counts['run'], 0)
