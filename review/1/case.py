"""A searcher sends the copy of a rejection late, on the next request."""

import asyncio
import collections
import pathlib
import time

from review.kit.caller import Call, Request, call
from review.kit.case import CaseError, run_case
from review.kit.deployment import (
    ZONES,
    Deployment,
    Vm,
    create_config,
    create_route,
)
from review.kit.http import Message
from review.kit.record import Record
from review.kit.searcher import Searcher
from review.kit.store import Store

_SERVICE = 'objednavky'
_ROUTE = 'orders'
_KEY = 'key-of-mill'
_SEARCHERS = 2
_SLOTS = 3
_QUEUE = 2
_WORK_S = 0.03
_ROUNDS = 75
#: Requests over one VM that take most places of the searchers, and requests
#: over the other VM, the last of which finds no place left.
_FILL_REQUESTS = 8
_LATER_REQUESTS = 3
_FILL_INTERVAL_S = 0.001
_LATER_S = 0.003
_STEADY_PER_S = 24
_STEADY_PER_ROUND = 24
#: Largest share of a searcher's answers that may come a second time, and for
#: how long at a time it may send such copies.
_COPIED_SHARE = 0.04
_FAULT_S = 5.0
_FAULT_INTERVAL_S = 6.0
_DEADLINE_MS = 4000
_PROMISES = frozenset((408, 421, 429, 503))


class _CopyingSearcher(Searcher):
    """Sends each rejection again where the next response is expected."""

    sends_copies = False

    def __init__(self, *args: object, **fields: object) -> None:
        super().__init__(*args, **fields)  # type: ignore[arg-type]
        self._copies: dict[asyncio.StreamWriter, bytes] = {}
        self._answers = 0
        self._copied = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._copies.pop(writer, None)
        await super().serve(reader, writer)

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        copy = self._copies.pop(writer, None)
        if copy is not None:
            self.record.write('copy', searcher=self.searcher_id)
            writer.write(copy)
        self._writer = writer
        await super().answer(request, writer)

    def encode_shed(self, request_id: str) -> bytes:
        rejection = super().encode_shed(request_id)
        self.record.write('shed', request=request_id, searcher=self.searcher_id)
        self._answers += 1
        is_faulty = time.monotonic() % _FAULT_INTERVAL_S < _FAULT_S
        is_faulty = is_faulty and self.sends_copies
        if is_faulty and self._copied + 1 <= _COPIED_SHARE * self._answers:
            self._copied += 1
            self._copies[self._writer] = rejection
        return rejection

    def encode_result(self, request_id: str) -> bytes:
        self._answers += 1
        return super().encode_result(request_id)


async def _play(
    folder: pathlib.Path, record: Record, has_trouble: bool
) -> list[str]:
    deployment = Deployment(2, folder, record)
    store = Store()
    await store.start(deployment.store_address, deployment.store_port)
    searchers = []
    for number in range(_SEARCHERS):
        searcher = _CopyingSearcher(
            f'i-{number}',
            _SERVICE,
            record,
            slots=_SLOTS,
            queue=_QUEUE,
            work_s=_WORK_S,
        )
        await searcher.start(deployment.searcher_address)
        searchers.append(searcher)
        store.put(f'servers/i-{number}', searcher.describe(ZONES[2]))
    searchers[0].sends_copies = has_trouble
    tenant = {'name': 'mill', 'api_keys': [_KEY], 'rate_per_s': 0, 'burst': 0}
    route = create_route(_ROUTE, _SERVICE, route_type='non_idempotent')
    config = create_config(3, [route], [_SERVICE], [tenant])
    store.put('op/config', config)
    try:
        await deployment.start()
        calls = await _send_bursts(deployment, record)
    finally:
        deployment.close()
        store.close()
    if not any(one.status == 200 for one in calls):
        raise CaseError('no request was served')
    runs = collections.Counter(
        run for searcher in searchers for run in searcher.runs
    )
    return _check(calls, runs)


async def _send_bursts(deployment: Deployment, record: Record) -> list[Call]:
    sent: list[asyncio.Task[Call]] = []
    first, second = deployment.vms
    async with asyncio.TaskGroup() as tasks:

        def send(vm: Vm) -> None:
            request = Request(
                f'{len(sent):08x}',
                f'/{_ROUTE}/1',
                'POST',
                _KEY,
                _DEADLINE_MS,
                b'two towels',
            )
            port = deployment.callers_port
            sent.append(
                tasks.create_task(call(vm.address, port, request, record))
            )

        for _ in range(_ROUNDS):
            for _ in range(_FILL_REQUESTS):
                send(second)
                await asyncio.sleep(_FILL_INTERVAL_S)
            await asyncio.sleep(_LATER_S)
            for _ in range(_LATER_REQUESTS):
                send(first)
            await asyncio.sleep(4 * _WORK_S)
            for _ in range(_STEADY_PER_ROUND):
                send(first)
                await asyncio.sleep(1 / _STEADY_PER_S)
    return [one.result() for one in sent]


def _check(calls: list[Call], runs: collections.Counter[str]) -> list[str]:
    violations = [
        f'TWICE: {request_id} ran {count} times'
        for request_id, count in runs.items()
        if count > 1
    ]
    violations.extend(
        f'REFUSED: {one.request_id} was answered {one.status} and has run'
        for one in calls
        if one.status in _PROMISES and runs[one.request_id]
    )
    return violations


if __name__ == '__main__':
    run_case(_play, pathlib.Path(__file__).parent)
