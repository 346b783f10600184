"""The process of the sound store and the sound searchers."""

import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.network import Endpoint
from jacinthcart_emulator.platform_searcher import (
    Arrival,
    PlatformSearcherEmulator,
)
from jacinthcart_emulator.platform_store import StoreEmulator
from jacinthcart_lab._store_writers import StoreWriters
from jacinthcart_lab.endless._channel import report, wait_for_line
from jacinthcart_lab.endless._parameters import (
    HOST,
    KEY,
    TIME_LIMIT_S,
    Plan,
)

_SOUND_SEARCHERS_OF_B = 2
_MS_PER_S = 1000


class SoundServers:
    """The store and the searchers that answer as they should."""

    def __init__(self, plan: Plan) -> None:
        """Create the servers; `run` starts them."""
        self._plan = plan
        self._random = random.Random(plan.params.seed)
        self._writers = StoreWriters(StoreEmulator(), self._random)
        self._arrivals: list[Arrival] = []

    async def run(self) -> None:
        """Serve until the driver ends the play, then report."""
        async with anyio.create_task_group() as tasks:
            await self._start(tasks)
            report({'state': 'ready'})
            await wait_for_line()
            await wait_for_line()
            sends = sum(one.service != 'b' for one in self._arrivals)
            report({'sound_sends': sends})
            tasks.cancel_scope.cancel()

    async def _start(self, tasks: TaskGroup) -> None:
        addresses = self._plan.addresses
        endpoint = Endpoint(address=addresses.sound, port=addresses.store_port)
        await self._writers.start(endpoint, tasks)
        params = self._plan.params
        for service in params.services:
            ports = self._plan.faulty_ports.get(service, [])
            for number, port in enumerate(ports):
                self._publish(
                    f'{service}-faulty-{number}',
                    service,
                    f'{addresses.faulty}:{port}',
                )
            for number in range(params.searchers - len(ports)):
                await self._start_searcher(f'{service}-{number}', tasks)
        for number in range(_SOUND_SEARCHERS_OF_B):
            await self._start_searcher(f'b-{number}', tasks)
        self._writers.write('op/config', self._create_config())

    async def _start_searcher(self, searcher_id: str, tasks: TaskGroup) -> None:
        service = searcher_id.partition('-')[0]
        searcher = PlatformSearcherEmulator(
            searcher_id,
            service,
            executions=[],
            arrivals=self._arrivals,
            random_source=self._random,
            slots=self._plan.params.slots,
        )
        address = self._plan.addresses.sound
        await searcher.start(address, tasks)
        self._publish(searcher_id, service, f'{address}:{searcher.port}')

    def _publish(self, searcher_id: str, service: str, address: str) -> None:
        self._writers.write(
            f'servers/{searcher_id}',
            {
                'service': service,
                'address': address,
                'zone': 'zone-a',
                'version': 'v1',
                'concurrency_limit': self._plan.params.slots,
                'state': 'ready',
                'warmup_left_ms': 0,
                'sequence': self._writers.take_sequence(),
                'born': 1,
            },
        )

    def _create_config(self) -> dict[str, Any]:
        services = self._plan.params.services
        common = {
            'host': HOST,
            'timeout_ms': TIME_LIMIT_S * _MS_PER_S,
            'target_latency_ms': 150,
            'priority': 1,
            'attempts': 2,
            'public': False,
            'route_type': 'idempotent',
        }
        target: dict[str, Any] = {'service': services[0]}
        if self._plan.params.path == 'gather':
            target = {'gather': services, 'top_k': 5, 'min_shard_ratio': 0.7}
        return {
            'version': 3,
            'routes': [
                {**common, 'name': 'a', 'prefix': '/a/', **target},
                {**common, 'name': 'b', 'prefix': '/b/', 'service': 'b'},
            ],
            'services': [
                {'name': one, 'max_connections': 64} for one in (*services, 'b')
            ],
            'tenants': [
                {
                    'name': 'mill',
                    'api_keys': [KEY],
                    'rate_per_s': 0,
                    'burst': 0,
                }
            ],
        }
