"""Searchers leave while the configuration changes."""

import asyncio
import dataclasses
import pathlib
import time
from typing import Any

from review.kit.caller import Request, call
from review.kit.case import CaseError, run_case
from review.kit.deployment import (
    BOUNDS,
    ZONES,
    Deployment,
    create_config,
    create_route,
)
from review.kit.http import Message
from review.kit.record import Record
from review.kit.searcher import Searcher
from review.kit.store import Store

_SERVICE = 'objednavky'
_ROUTE = 'stav-objednavky'
_KEY = 'key-of-mill'
_VMS = 8
_SEARCHERS = 8
#: Searchers of another service, which get no requests here.
_OTHER_SERVICE = 'fakturace'
_OTHER_SEARCHERS = 16
_LEAVING = 3
_WORK_S = 0.09
#: Requests through each VM that come together.
_BATCH = 12
_ROUNDS = 21
#: Time between two writes of the operator and the searchers to the store.
_WRITE_INTERVAL_S = 0.001
_DRAIN_S = BOUNDS['drain_ms'] / 1000
#: Time from the end of the drain time to the next requests.
_LATER_S = 0.2
#: How long a leaving searcher still serves after they were sent.
_LINGER_S = 0.6
_SETTLE_S = 0.4


class _LeavingSearcher(Searcher):
    """Records when requests reach it after it began to leave."""

    def __init__(self, *args: Any, **fields: Any) -> None:
        super().__init__(*args, **fields)
        self.left_at: float | None = None
        #: Request ids and seconds from the ack of its leaving to the arrival.
        self.late: list[tuple[str, float]] = []

    def leave(self, acknowledged_at: float) -> None:
        """Say in all answers that it leaves."""
        self.left_at = acknowledged_at
        self.statements['Server-Leaving'] = '1'
        self.record.write('draining', searcher=self.searcher_id)

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        if self.left_at is not None:
            since_s = time.monotonic() - self.left_at
            request_id = request.headers['x-jacinthcart-request-id']
            self.record.write(
                'arrival',
                request=request_id,
                searcher=self.searcher_id,
                since_ack=f'{since_s:.3f}',
            )
            if since_s > _DRAIN_S:
                self.late.append((request_id, since_s))
        await super().answer(request, writer)


@dataclasses.dataclass
class _Site:
    deployment: Deployment
    store: Store
    record: Record
    searchers: list[_LeavingSearcher] = dataclasses.field(default_factory=list)
    left: list[_LeavingSearcher] = dataclasses.field(default_factory=list)
    sent: int = 0
    served: int = 0
    version: int = 3
    started: int = 0

    async def start_searcher(self) -> None:
        """Start a searcher and let it register itself."""
        number = self.started
        self.started += 1
        searcher = _LeavingSearcher(
            f'i-{number:04x}', _SERVICE, self.record, work_s=_WORK_S
        )
        await searcher.start(self.deployment.searcher_address)
        self.searchers.append(searcher)
        zone = ZONES[number % len(ZONES)]
        self.store.put(
            f'servers/{searcher.searcher_id}', searcher.describe(zone)
        )

    async def start_others(self) -> None:
        """Start the searchers of the other service."""
        for number in range(_OTHER_SEARCHERS):
            searcher = Searcher(f'o-{number}', _OTHER_SERVICE, self.record)
            await searcher.start(self.deployment.searcher_address)
            zone = ZONES[number % len(ZONES)]
            self.store.put(f'servers/o-{number}', searcher.describe(zone))

    def put_config(self) -> None:
        """Write the next version, with another time-out."""
        self.version += 2
        route = create_route(
            _ROUTE, _SERVICE, timeout_ms=4000 + self.version % 7
        )
        tenant = {
            'name': 'mill',
            'api_keys': [_KEY],
            'rate_per_s': 0,
            'burst': 0,
        }
        config = create_config(
            self.version, [route], [_SERVICE, _OTHER_SERVICE], [tenant]
        )
        self.store.put('op/config', config)
        self.record.write('config', version=self.version)

    async def send_batch(self) -> None:
        """Send requests through all VMs at once and wait for the answers."""
        calls = []
        for vm in self.deployment.vms:
            for _ in range(_BATCH):
                request = Request(f'{self.sent:08x}', f'/{_ROUTE}/1', key=_KEY)
                self.sent += 1
                port = self.deployment.callers_port
                calls.append(call(vm.address, port, request, self.record))
        ended = await asyncio.gather(*calls)
        self.served += sum(one.status == 200 for one in ended)

    async def play_round(self, has_trouble: bool) -> None:
        """Let searchers leave, change the configuration, replace them."""
        leaving = self.searchers[:_LEAVING]
        del self.searchers[:_LEAVING]
        for searcher in leaving:
            entry = searcher.describe(ZONES[0], state='draining', sequence=2)
            searcher.leave(
                self.store.put(f'servers/{searcher.searcher_id}', entry)
            )
            await asyncio.sleep(_WRITE_INTERVAL_S)
        if has_trouble:
            self.put_config()
        await asyncio.sleep(_DRAIN_S + _LATER_S)
        await self.send_batch()
        await asyncio.sleep(_LINGER_S)
        for searcher in leaving:
            searcher.close()
            self.store.remove(f'servers/{searcher.searcher_id}')
        self.left.extend(leaving)
        for _ in leaving:
            await self.start_searcher()
        await asyncio.sleep(_SETTLE_S)


async def _play(
    folder: pathlib.Path, record: Record, has_trouble: bool
) -> list[str]:
    deployment = Deployment(_VMS, folder, record)
    site = _Site(deployment, Store(), record)
    await site.store.start(deployment.store_address, deployment.store_port)
    for _ in range(_SEARCHERS):
        await site.start_searcher()
    await site.start_others()
    site.put_config()
    try:
        await deployment.start()
        await site.send_batch()
        for _ in range(_ROUNDS):
            await site.play_round(has_trouble)
    finally:
        deployment.close()
        site.store.close()
    if not site.served:
        raise CaseError('no request was served')
    return [
        f'DRAIN: {request_id} reached {searcher.searcher_id} '
        f'{since_s:.2f} s after the ack that it is draining'
        for searcher in site.left
        for request_id, since_s in searcher.late
    ]


if __name__ == '__main__':
    run_case(_play, pathlib.Path(__file__).parent)
