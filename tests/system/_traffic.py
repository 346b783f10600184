"""Request traffic to every VM and checks of the replies."""

import contextlib
import dataclasses
import itertools
import random
import threading
import unittest
from types import TracebackType
from typing import Any, Self

import anyio
import httpx

from jacinthcart.caller import Answer
from jacinthcart_emulator import compute_hits, merge_hits
from tests.system._system import KEY, SEARCH, SUBMIT, System, wait_for

_MEAN_INTERVAL_S = 0.05
_DEADLINE_MS = 1000
_TIMEOUT_S = 3
_OK = 200
_MIN_NEW_ANSWERS = 5


@dataclasses.dataclass(frozen=True)
class Record:
    """A request and its reply."""

    #: VM to which the request was sent.
    vm_id: str
    #: Route id.
    route: str
    #: Id of the request.
    request_id: str
    #: The query.
    query: dict[str, Any]
    #: Status and body; None if the connection failed.
    reply: tuple[int, dict[str, Any]] | None

    @property
    def answer(self) -> dict[str, Any] | None:
        """The answer; None for a refusal or without a reply."""
        if self.reply is None or self.reply[0] != _OK:
            return None
        return self.reply[1]

    @property
    def refusal(self) -> dict[str, Any] | None:
        """The refusal; None for an answer or without a reply."""
        if self.reply is None or self.reply[0] == _OK:
            return None
        return dict(self.reply[1]['refusal'])


class Traffic:
    """Searches and submits to each VM, sent by a thread in the context.

    Each request is sent once, without retries.
    """

    def __init__(self, system: System, seed: int) -> None:
        """Create the traffic; entering the context starts it."""
        self.records: list[Record] = []
        self._system = system
        self._random = random.Random(seed)
        self._earlier_ids: set[str] = set()
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=anyio.run, args=[self._run])

    def __enter__(self) -> Self:
        """Start sending requests."""
        runs = self._system.fleet.emulators.count_submit_runs()
        self._earlier_ids = set(runs)
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop sending requests and wait for those in flight."""
        self._stop_requested.set()
        self._thread.join()

    def wait_for_answers(self, route: str, *vm_ids: str) -> None:
        """Wait until each VM has answered `_MIN_NEW_ANSWERS` more requests."""
        first = len(self.records)
        wait_for(
            lambda: all(
                self._count_answers(first, vm_id, route) >= _MIN_NEW_ANSWERS
                for vm_id in vm_ids
            ),
            f'{vm_ids} answer {route}',
        )

    def wait_until_submit_runs(self, home_vm: str) -> None:
        """Wait until a searcher runs an unanswered submit of `home_vm`."""
        wait_for(
            lambda: bool(self._find_running(home_vm)),
            f'a submit of {home_vm} runs',
        )

    def _find_running(self, home_vm: str) -> set[str]:
        runs = self._system.fleet.emulators.count_submit_runs()
        started = {
            request_id
            for request_id in runs
            if request_id.startswith(f'{home_vm}.')
        }
        ended = {record.request_id for record in self.records}
        return started - self._earlier_ids - ended

    def _count_answers(self, first: int, vm_id: str, route: str) -> int:
        return sum(
            record.answer is not None
            for record in self.records[first:]
            if record.vm_id == vm_id and record.route == route
        )

    async def _run(self) -> None:
        async with (
            httpx.AsyncClient(timeout=_TIMEOUT_S) as client,
            anyio.create_task_group() as tasks,
        ):
            for vm_id in self._system.vm_ids:
                for route in (SEARCH, SEARCH, SUBMIT):
                    tasks.start_soon(self._send_many, client, vm_id, route)

    async def _send_many(
        self,
        client: httpx.AsyncClient,
        vm_id: str,
        route: str,
    ) -> None:
        for number in itertools.count():
            if self._stop_requested.is_set():
                return
            query = {'text': f'{vm_id} {number}', 'id': f'{number}'}
            await self._send(client, vm_id, route, query)
            await anyio.sleep(self._random.uniform(0, 2 * _MEAN_INTERVAL_S))

    async def _send(
        self,
        client: httpx.AsyncClient,
        vm_id: str,
        route: str,
        query: dict[str, Any],
    ) -> None:
        url = self._system.get_entry_url(vm_id)
        request_id = f'test{self._random.getrandbits(64):x}'
        with contextlib.suppress(httpx.TransportError):
            if route == SUBMIT:
                reply = await client.get(f'{url}/v1/addresses')
                prefix = reply.json().get('request_id_prefix')
                if prefix is None:
                    return
                request_id = f'{prefix}.{request_id}'
        team, name = route.split('/')
        received = None
        with contextlib.suppress(httpx.TransportError):
            response = await client.post(
                f'{url}/v1/teams/{team}/routes/{name}',
                json={
                    'request_id': request_id,
                    'query': query,
                    'deadline_ms': _DEADLINE_MS,
                },
                headers={'authorization': f'Bearer {KEY}'},
            )
            received = (response.status_code, response.json())
        self.records.append(Record(vm_id, route, request_id, query, received))


class TrafficTestCase(unittest.TestCase):
    """Checks of invariants that hold under every fault."""

    def check_answers(self, records: list[Record]) -> None:
        """Check the id, snapshot, hits and coverage of every answer."""
        for record in records:
            if record.answer is not None:
                self.assertEqual(record.answer['request_id'], record.request_id)
                self._check_hits(record.answer, record.query)

    def check_caller_answers(
        self,
        answers: list[tuple[dict[str, Any], Answer]],
    ) -> None:
        """Check the snapshot, hits and coverage of callers' answers."""
        for query, answer in answers:
            message = dataclasses.asdict(answer)
            message['hits'] = list(answer.hits)
            self._check_hits(message, query)

    def check_submits(self, system: System, records: list[Record]) -> None:
        """Check the outcome of each submit against the searchers' counts.

        No submit may run twice, and no key of a caller may reach a searcher.
        """
        runs = system.fleet.emulators.count_submit_runs()
        self.assertEqual({count for count in runs.values() if count > 1}, set())
        counts = system.fleet.emulators.read_searcher_counts().values()
        self.assertEqual(sum(one['submits_run_twice'] for one in counts), 0)
        self.assertEqual(
            sum(one.get('caller_keys_seen', 0) for one in counts), 0
        )
        for record in records:
            if record.route != SUBMIT:
                continue
            if record.answer is not None:
                self.assertEqual(runs[record.request_id], 1, record)
            elif record.refusal and record.refusal['ran'] == 'not_run':
                self.assertEqual(runs[record.request_id], 0, record)

    def _check_hits(
        self,
        answer: dict[str, Any],
        query: dict[str, Any],
    ) -> None:
        coverage = answer['coverage']
        missing = {one['shard'] for one in coverage['missing']}
        shards = {hit['shard'] for hit in answer['hits']}
        self.assertEqual(shards & missing, set())
        self.assertEqual(len(shards), coverage['shards_answered'])
        self.assertEqual(
            coverage['shards_asked'],
            coverage['shards_answered'] + len(missing),
        )
        self.assertEqual(coverage['complete'], not missing)
        version = answer['snapshot']['index_version']
        hits = itertools.chain.from_iterable(
            compute_hits(query, shard, version) for shard in shards
        )
        self.assertEqual(
            answer['hits'],
            merge_hits(hits, len(answer['hits'])),
        )
