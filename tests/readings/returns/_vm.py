"""The product's components of one VM; all that depends on their interface."""

import contextvars
import math
import random
from typing import Any, cast

import anyio

from jacinthcart.catalogue import CatalogueState
from jacinthcart.errors import InvalidMessageError
from jacinthcart.fleet import (
    READERS_KEY,
    FleetGossip,
    GossipParameters,
    MemberParameters,
    MemberRecord,
    MemberState,
    MemberTable,
    compute_interval_factor,
)
from jacinthcart.front import RawRequest
from jacinthcart.network import BaseDatagrams, Endpoint
from jacinthcart.node._node import _KEY_LEASE_FRACTION, Node
from jacinthcart.node._peer_api import PeerHandler
from jacinthcart.platform._catalogue_updater import CatalogueUpdater
from jacinthcart.platform._document_versions import DocumentVersions
from jacinthcart.platform._keys import OPERATOR_PREFIX
from jacinthcart.platform._store import PlatformStore
from jacinthcart.readings import (
    FreshnessLease,
    ItemTable,
    ReaderParameters,
    ReaderRole,
    StoreReader,
    TablePuller,
    TableServer,
)
from jacinthcart.telemetry import Logger, Metrics
from jacinthcart.wire import HttpResponse
from tests.readings.returns._network import ModelNetwork, ModelStorePool

#: Seconds after the acknowledgement at which a withdrawn key is out.
REVOKE_S = 5.0
KEY_LEASE_S = REVOKE_S * _KEY_LEASE_FRACTION
_PORT = 7740
_EXPIRY_INTERVAL_S = 0.5
_pulling_address: contextvars.ContextVar[str] = contextvars.ContextVar(
    'pulling_address'
)


class ModelVm:
    """The components that copy the store to one VM, as `Node` joins them."""

    def __init__(
        self,
        network: ModelNetwork,
        address: str,
        data_centre: str,
        seeds: tuple[str, ...],
        source: random.Random,
    ) -> None:
        """Create a process without data; `run` starts it."""
        self.address = address
        self.data_centre = data_centre
        clock = anyio.current_time
        self.logger = cast(Logger, SilentLogger())
        self.metrics = Metrics()
        self.table = ItemTable(OPERATOR_PREFIX, DocumentVersions())
        self.lease = FreshnessLease(clock)
        self.catalogue_state = CatalogueState(clock, self.logger)
        self.lease.listeners.append(self.catalogue_state.record_proof)
        CatalogueUpdater(self.table, self.catalogue_state, self.logger)
        self.table_server = TableServer(self.table, self.lease)
        self.peer_handler = PeerHandler(cast(Node, self))
        self.members = MemberTable(
            MemberRecord(
                address=address,
                data_centre=data_centre,
                incarnation=int(clock() * 1000) + 1,
                state=MemberState.ALIVE,
            ),
            clock,
            self.logger,
            MemberParameters(),
        )
        self.gossip = FleetGossip(
            self.members,
            ModelDatagrams(network, address),
            ModelPuller(self),
            seeds=seeds,
            port=_PORT,
            random_source=source,
            params=GossipParameters(),
        )
        store = PlatformStore(Endpoint(address='127.0.0.1', port=9))
        setattr(store, '_pool', ModelStorePool(network, address))
        self.reader = StoreReader(
            store,
            self.table,
            self.lease,
            ReaderRole(
                lambda: self.members.compute_rank(READERS_KEY),
                lambda: compute_interval_factor(self.members),
                address in seeds,
            ),
            params=ReaderParameters(proof_prefix=OPERATOR_PREFIX),
            logger=self.logger,
            metrics=self.metrics,
        )
        setattr(self.reader, '_random', source)

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 without one."""
        catalogue = self.catalogue_state.catalogue
        return catalogue.version if catalogue else 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres whose searchers get no requests."""
        return self.catalogue_state.evacuated

    @property
    def proof_at(self) -> float:
        """Time for which the copy is proven to be current."""
        return self.lease.proof_at

    def list_accepted_keys(self) -> frozenset[str]:
        """Return the callers' keys that this VM accepts now."""
        catalogue = self.catalogue_state.catalogue
        if catalogue is None or not self.lease.is_fresh(KEY_LEASE_S):
            return frozenset()
        return frozenset(catalogue.workspace_name_by_key)

    def list_offered(self, services: tuple[str, ...]) -> frozenset[str]:
        """Return the ids of the searchers that get requests."""
        return frozenset(
            searcher.searcher_id
            for service in services
            for searcher in self.catalogue_state.list_searchers(service)
        )

    def describe_position(self) -> str:
        """Return what this VM says of its copy to peers."""
        age_s = self.lease.age_s
        age = f'{age_s:.2f}' if math.isfinite(age_s) else 'none'
        return (
            f'newest {self.table.newest}, '
            f'complete to {self.table.complete_to}, proof age {age}'
        )

    async def run(self) -> None:
        """Run the process until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip.run)
            tasks.start_soon(self.reader.run)
            tasks.start_soon(self._expire_searchers)

    async def receive(self, message: dict[str, Any], source: str) -> None:
        """Handle a datagram of a peer."""
        endpoint = Endpoint.model_construct(address=source, port=_PORT)
        try:
            await self.gossip.handle(message, endpoint)
        except InvalidMessageError:
            self.metrics.count('message', 'invalid')

    async def answer_pull(self, target: str) -> HttpResponse:
        """Answer a pull of a peer."""
        response = await self.peer_handler.handle(
            RawRequest(
                'GET', target.encode(), (), b'', anyio.current_time(), True
            )
        )
        return HttpResponse(response.status, {}, response.body)

    async def _expire_searchers(self) -> None:
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            self.catalogue_state.remove_lapsed()


class ModelDatagrams(BaseDatagrams):
    """Sends datagrams of one VM over the simulated network."""

    def __init__(self, network: ModelNetwork, address: str) -> None:
        """Keep the sender's address."""
        self._network = network
        self._address = address

    async def send(self, message: dict[str, Any], peer: Endpoint) -> None:
        """Send one message."""
        await self._network.send(self._address, peer.address, message)


class ModelPuller(TablePuller):
    """Pulls over `ModelConnection`, which must know who pulls."""

    def __init__(self, vm: ModelVm) -> None:
        """Use the table and the lease of `vm`."""
        super().__init__(vm.table, vm.lease, vm.logger, vm.metrics)
        self._address = vm.address

    async def pull(
        self, peer_id: str, endpoint: Endpoint, is_repair: bool = False
    ) -> None:
        """Pull as the base class does."""
        _pulling_address.set(self._address)
        await super().pull(peer_id, endpoint, is_repair)


class ModelConnection:
    """Replaces HttpConnection for pulls."""

    #: Network of the current run.
    network: ModelNetwork

    def __init__(self, address: str) -> None:
        """Keep the address of the peer."""
        self._address = address

    @classmethod
    async def open(
        cls, address: str, port: int, timeout_s: float = 1
    ) -> 'ModelConnection':
        """Return a connection; a lost peer shows at the request."""
        return cls(address)

    async def request(
        self, method: str, target: str, **options: Any
    ) -> HttpResponse:
        """Return the peer's answer."""
        return await self.network.pull(
            _pulling_address.get(), self._address, target
        )

    async def close(self) -> None:
        """Nothing to close."""


class SilentLogger:
    """Drops all lines."""

    def debug(self, event: str, **fields: Any) -> None:
        """Drop a line."""

    def info(self, event: str, **fields: Any) -> None:
        """Drop a line."""

    def warning(
        self, event: str, limit_key: str | None = None, **fields: Any
    ) -> None:
        """Drop a line."""

    def error(
        self, event: str, limit_key: str | None = None, **fields: Any
    ) -> None:
        """Drop a line."""
