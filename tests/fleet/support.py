"""Fleets of membership components over a simulated network."""

import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.fleet import (
    FleetGossip,
    GossipParameters,
    MemberParameters,
    MemberTable,
)
from jacinthcart.network import BaseDatagrams, Endpoint
from jacinthcart.readings import (
    FreshnessLease,
    START,
    ItemTable,
    TablePuller,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import create_member

SEEDS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
_DEFAULT_PARAMS = GossipParameters()
_PORT = 7740


class FakeNetwork:
    """Delivers datagrams between fake VMs that are not cut off."""

    def __init__(self) -> None:
        """Start without VMs."""
        self.vms: dict[str, FakeVm] = {}
        self.cut: set[str] = set()
        self.sent = 0

    async def deliver(
        self,
        source: str,
        target: str,
        message: dict[str, Any],
    ) -> None:
        """Deliver a message to its target."""
        self.sent += 1
        is_cut = bool(self.cut & {source, target})
        vm = self.vms.get(target)
        if vm is not None and not is_cut:
            endpoint = Endpoint(address=source, port=_PORT)
            await vm.gossip.handle(message, endpoint)


class FakeDatagrams(BaseDatagrams):
    """Sends datagrams through the fake network."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        """Keep the sender's address."""
        self._network = network
        self._address = address

    async def send(self, message: dict[str, Any], peer: Endpoint) -> None:
        """Send one message."""
        await self._network.deliver(self._address, peer.address, message)


class FakePuller(TablePuller):
    """Copies a peer's changes immediately."""

    def __init__(self, network: FakeNetwork, vm: 'FakeVm') -> None:
        """Keep the network and the pulling VM."""
        super().__init__(vm.table, vm.lease, create_logger('test'), Metrics())
        self._network = network

    async def pull(
        self, peer_id: str, endpoint: Endpoint, is_repair: bool
    ) -> None:
        """Merge the peer's changes."""
        peer = self._network.vms[peer_id]
        after = START if is_repair else self.table.complete_to
        self.table.merge_changes(
            peer.table.list_changes(after), is_proof_newer=True
        )


class FakeVm:
    """The membership components of one VM."""

    def __init__(
        self,
        network: FakeNetwork,
        address: str,
        data_centre: str,
        seeds: tuple[str, ...] = SEEDS,
        params: GossipParameters = _DEFAULT_PARAMS,
    ) -> None:
        """Add the VM to the network."""
        network.vms[address] = self
        self.table = ItemTable()
        self.lease = FreshnessLease(anyio.current_time)
        self.members = MemberTable(
            create_member(
                address,
                data_centre=data_centre,
            ),
            anyio.current_time,
            create_logger('test'),
            MemberParameters(),
        )
        self.gossip = FleetGossip(
            self.members,
            FakeDatagrams(network, address),
            FakePuller(network, self),
            seeds=seeds,
            port=_PORT,
            random_source=random.Random(address),
            params=params,
        )


class UnreliableNetwork(FakeNetwork):
    """Delays datagrams, and loses some of them."""

    def __init__(self, tasks: TaskGroup, loss_fraction: float) -> None:
        """Create the network; datagrams are delivered in `tasks`."""
        super().__init__()
        self.deaf: set[str] = set()
        #: Pairs of data centres; nothing passes from the first to the second.
        self.blocked: set[tuple[str, str]] = set()
        self._tasks = tasks
        self._loss_fraction = loss_fraction
        self._random = random.Random(5)

    async def deliver(
        self, source: str, target: str, message: dict[str, Any]
    ) -> None:
        """Deliver a message later unless it is lost."""
        self.sent += 1
        is_lost = self._random.random() < self._loss_fraction
        if not is_lost and self._is_connected(source, target):
            self._tasks.start_soon(self._deliver, source, target, message)

    def _is_connected(self, source: str, target: str) -> bool:
        vms = self.vms
        if target not in vms or target in self.deaf:
            return False
        pair = (
            vms[source].members.own.data_centre,
            vms[target].members.own.data_centre,
        )
        return pair not in self.blocked and not self.cut & {source, target}

    async def _deliver(
        self, source: str, target: str, message: dict[str, Any]
    ) -> None:
        await anyio.sleep(0.0005 + 0.002 * self._random.random())
        endpoint = Endpoint(address=source, port=_PORT)
        await self.vms[target].gossip.handle(message, endpoint)
