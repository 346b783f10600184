"""Small deployment with the platform's settings, for soak and tests."""

import dataclasses
import json
import pathlib
import random
import socket
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.network import Endpoint
from jacinthcart_emulator.platform_searcher import (
    Arrival,
    Execution,
    PlatformSearcherEmulator,
)
from jacinthcart_emulator.platform_store import StoreEmulator
from jacinthcart_lab._store_writers import StoreWriters

#: Zones of the VMs and the searchers.
ZONES = ('zone-a', 'zone-b', 'zone-c')
_STORE_ADDRESS = '127.0.2.1'
_SEARCHER_ADDRESS = '127.0.3.1'
_SEED_COUNT = 3
_PORT_COUNT = 5
_CONFIG_KEY = 'op/config'


@dataclasses.dataclass(frozen=True)
class DeploymentParameters:
    """Size and limits of the deployment."""

    #: Number of VMs.
    vms: int = 3
    #: Number of shards of the index.
    shards: int = 4
    #: Number of searchers of each shard and of the service `orders`.
    replicas: int = 2
    #: Rate limit of the workspace `mill` in requests per second, which is also
    #: its burst; 0 sets no limit.
    rate_per_s: float = 0
    #: Time in milliseconds after which a request is ended.
    timeout_ms: int = 2000


class PlatformDeployment:
    """Emulated store and searchers that run in this process."""

    def __init__(
        self,
        params: DeploymentParameters,
        random_source: random.Random,
    ) -> None:
        """Create the deployment; `start` starts its servers."""
        self.params = params
        self.store = StoreEmulator()
        #: The operator and the searchers, as writers of the store.
        self.writers = StoreWriters(self.store, random_source)
        self.executions: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.searchers_by_id: dict[str, PlatformSearcherEmulator] = {}
        self.version = 0
        self.keys = ['key-1']
        #: Names of routes that a version adds to those that all versions have.
        self.extra_routes: list[str] = []
        #: Names of such routes that a version has dropped again.
        self.former_routes: list[str] = []
        self._random = random_source
        self._store_port = 0
        self._ports: list[int] = []

    @property
    def addresses(self) -> list[str]:
        """IP addresses of the VMs."""
        return [f'127.0.1.{number + 1}' for number in range(self.params.vms)]

    @property
    def callers_port(self) -> int:
        """Port for callers, which is the same on all VMs."""
        return self._ports[0]

    @property
    def directory_port(self) -> int:
        """Port where callers request addresses, the same on all VMs."""
        return self._ports[2]

    async def start(self, tasks: TaskGroup) -> None:
        """Start the store and the searchers and publish the configuration."""
        self._ports = find_free_ports(self.addresses[0], _PORT_COUNT)
        self._store_port = find_free_ports(_STORE_ADDRESS, 1)[0]
        endpoint = Endpoint(address=_STORE_ADDRESS, port=self._store_port)
        await self.writers.start(endpoint, tasks)
        for service in self.list_services():
            for number in range(self.params.replicas):
                await self.start_searcher(f'{service}-{number}', service, tasks)
        self.publish_config()

    def list_services(self) -> list[str]:
        """Return the names of all services."""
        shards = [f'shard{number}' for number in range(self.params.shards)]
        return [*shards, 'orders']

    async def start_searcher(
        self,
        searcher_id: str,
        service: str,
        tasks: TaskGroup,
    ) -> None:
        """Start one searcher and publish it."""
        searcher = PlatformSearcherEmulator(
            searcher_id,
            service,
            executions=self.executions,
            arrivals=self.arrivals,
            random_source=self._random,
        )
        await searcher.start(_SEARCHER_ADDRESS, tasks)
        self.searchers_by_id[searcher_id] = searcher
        self.publish_searcher(searcher_id)

    def publish_searcher(self, searcher_id: str, state: str = 'ready') -> None:
        """Publish the advertisement of a searcher to the store."""
        searcher = self.searchers_by_id[searcher_id]
        zone = ZONES[sum(searcher_id.encode()) % len(ZONES)]
        self.writers.write(
            f'servers/{searcher_id}',
            {
                'service': searcher.service,
                'address': f'{_SEARCHER_ADDRESS}:{searcher.port}',
                'zone': zone,
                'version': 'v1',
                'concurrency_limit': 4,
                'state': state,
                'warmup_left_ms': 0,
                'sequence': self.writers.take_sequence(),
                'born': 1,
            },
        )

    def remove_searcher(self, searcher_id: str) -> None:
        """Remove the advertisement of a searcher that has left."""
        self.writers.write(f'servers/{searcher_id}', None)

    def set_evacuation(self, zone: str, *, is_requested: bool) -> None:
        """Request the evacuation of a zone or take it back."""
        self.writers.write(f'op/evacuate/{zone}', {} if is_requested else None)

    def publish_config(self) -> None:
        """Publish a new configuration version with the current keys."""
        self.version += 3
        shards = [one for one in self.list_services() if one != 'orders']
        common = {
            'host': 'shop.example',
            'timeout_ms': self.params.timeout_ms,
            'target_latency_ms': 150,
            'priority': 1,
            'attempts': 2,
            'public': False,
        }
        self.writers.write(
            _CONFIG_KEY,
            {
                'version': self.version,
                'routes': [
                    {
                        **common,
                        'name': 'search',
                        'prefix': '/search/',
                        'route_type': 'idempotent',
                        'gather': shards,
                        'top_k': 5,
                        'min_shard_ratio': 0.7,
                    },
                    {
                        **common,
                        'name': 'order',
                        'prefix': '/order/',
                        'route_type': 'non_idempotent',
                        'service': 'orders',
                    },
                    *(
                        {
                            **common,
                            'name': name,
                            'prefix': f'/{name}/',
                            'route_type': 'idempotent',
                            'service': 'orders',
                        }
                        for name in self.extra_routes
                    ),
                ],
                'services': [
                    {'name': one, 'max_connections': 26}
                    for one in self.list_services()
                ],
                'tenants': [
                    {
                        'name': 'mill',
                        'api_keys': self.keys,
                        'rate_per_s': self.params.rate_per_s,
                        'burst': self.params.rate_per_s,
                    },
                ],
            },
        )

    @property
    def store_endpoint(self) -> Endpoint:
        """Endpoint of the store."""
        return Endpoint(address=_STORE_ADDRESS, port=self._store_port)

    def create_settings(
        self,
        number: int,
        store: Endpoint | None = None,
    ) -> dict[str, Any]:
        """Return the settings of one VM.

        `store` replaces the endpoint of the store, for example by a proxy.
        """
        store_endpoint = store or self.store_endpoint
        address = self.addresses[number]
        fields = {
            'node_name': f'vm-{number}',
            'ip': address,
            'zone': ZONES[number % len(ZONES)],
            'listen_addrs': {
                'frontend_addr': f'{address}:{self._ports[0]}',
                'ready': f'{address}:{self._ports[1]}',
                'directory': f'{address}:{self._ports[2]}',
                'control': f'{address}:{self._ports[3]}',
            },
            'port_range': [self._ports[4], self._ports[4]],
            'seeds': [
                f'{seed}:{self._ports[3]}'
                for seed in self.addresses[:_SEED_COUNT]
            ],
            'bounds': {'revoke_ms': 3000, 'grace_s': 3},
            'platform': {
                'address': f'{store_endpoint.address}:{store_endpoint.port}'
            },
        }
        return {'platform_fields': fields}

    def write_settings(
        self,
        number: int,
        folder: pathlib.Path,
        store: Endpoint | None = None,
    ) -> pathlib.Path:
        """Write the settings file of one VM and return its path."""
        path = folder / f'vm-{number}.json'
        path.write_text(json.dumps(self.create_settings(number, store)))
        return path

    async def close(self) -> None:
        """Stop every searcher and abort its connections."""
        for searcher in self.searchers_by_id.values():
            with anyio.CancelScope(shield=True):
                await searcher.close()


def find_free_ports(address: str, count: int) -> list[int]:
    """Return TCP ports of a local address that are free at this moment."""
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((address, 0))
        sockets.append(probe)
    ports = [int(probe.getsockname()[1]) for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports
