"""The simulated network between VMs, and from VMs to the store."""

import contextlib
import random
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.wire import HttpResponse
from tests.readings.returns._store import ModelStore

if TYPE_CHECKING:
    from tests.readings.returns._vm import ModelVm

_LOSS_FRACTION = 0.01
_MIN_LATENCY_S = 0.0003
_LATENCY_SPREAD_S = 0.002
_MAX_SLOW_S = 0.7
#: Fraction of a slow VM's calls whose answers are lost.
_LOST_ANSWER_FRACTION = 0.3


class ModelNetwork:
    """Carries datagrams, pulls and store calls, unless they are cut off.

    A paused VM neither sends nor receives: its calls and datagrams are held
    up until it runs again, while clocks go on.
    """

    def __init__(
        self, store: ModelStore, tasks: TaskGroup, source: random.Random
    ) -> None:
        """Create a network without VMs; datagrams travel in `tasks`."""
        self.store = store
        self.vm_by_address: dict[str, 'ModelVm'] = {}
        #: VMs that reach no peer.
        self.cut_from_peers: set[str] = set()
        #: VMs whose calls to the store get no answer.
        self.cut_from_store: set[str] = set()
        #: VMs whose calls the store rejects.
        self.rejected_by_store: set[str] = set()
        #: VMs whose calls to the store are answered late, or not at all.
        self.slow_to_store: set[str] = set()
        #: Pairs of data centres between which nothing passes.
        self.parted: set[frozenset[str]] = set()
        self._resumed_by_address: dict[str, anyio.Event] = {}
        self._tasks = tasks
        self._random = source

    def pause(self, address: str) -> None:
        """Let a VM stand still."""
        self._resumed_by_address[address] = anyio.Event()

    def resume(self, address: str) -> None:
        """Let a paused VM run again."""
        self._resumed_by_address.pop(address).set()

    def is_paused(self, address: str) -> bool:
        """Return whether a VM stands still."""
        return address in self._resumed_by_address

    async def wait_while_paused(self, address: str) -> None:
        """Return when a VM runs."""
        while address in self._resumed_by_address:
            await self._resumed_by_address[address].wait()

    @contextlib.asynccontextmanager
    async def hold_while_paused(self, address: str) -> AsyncIterator[None]:
        """Begin and end a call only while its VM runs."""
        await self.wait_while_paused(address)
        try:
            yield
        finally:
            await self.wait_while_paused(address)

    async def send(
        self, source: str, target: str, message: dict[str, Any]
    ) -> None:
        """Send a datagram."""
        await self.wait_while_paused(source)
        is_lost = self._random.random() < _LOSS_FRACTION
        if not is_lost and self._is_connected(source, target):
            self._tasks.start_soon(self._deliver, source, target, message)

    async def pull(
        self, source: str, target: str, request: str
    ) -> HttpResponse:
        """Return a peer's answer to a request."""
        async with self.hold_while_paused(source):
            await self._travel()
            if not self._is_connected(source, target):
                await anyio.sleep_forever()
            await self.wait_while_paused(target)
            response = await self.vm_by_address[target].answer_pull(request)
            await self._travel()
            if not self._is_connected(source, target):
                await anyio.sleep_forever()
            return response

    async def call_store(self, source: str, target: str) -> HttpResponse:
        """Return the store's answer to a call."""
        await self._travel()
        if source in self.cut_from_store:
            await anyio.sleep_forever()
        if source in self.rejected_by_store:
            return self.store.reject()
        response = await self.store.answer(target)
        if source in self.slow_to_store:
            await anyio.sleep(_MAX_SLOW_S * self._random.random())
            if self._random.random() < _LOST_ANSWER_FRACTION:
                await anyio.sleep_forever()
        await self._travel()
        if source in self.cut_from_store:
            await anyio.sleep_forever()
        return response

    async def _deliver(
        self, source: str, target: str, message: dict[str, Any]
    ) -> None:
        await self._travel()
        await self.wait_while_paused(target)
        if self._is_connected(source, target):
            await self.vm_by_address[target].receive(message, source)

    async def _travel(self) -> None:
        await anyio.sleep(
            _MIN_LATENCY_S + _LATENCY_SPREAD_S * self._random.random()
        )

    def _is_connected(self, source: str, target: str) -> bool:
        vms = self.vm_by_address
        if source not in vms or target not in vms:
            return False
        if self.cut_from_peers and self.cut_from_peers & {source, target}:
            return False
        if not self.parted:
            return True
        pair = frozenset((vms[source].data_centre, vms[target].data_centre))
        return pair not in self.parted


class ModelStorePool:
    """Replaces the connections of one VM's store client."""

    def __init__(self, network: ModelNetwork, address: str) -> None:
        """Keep the address of the VM."""
        self._network = network
        self._address = address

    async def call(
        self, method: str, target: str, timeout_s: float = 5, **options: Any
    ) -> HttpResponse:
        """Send one call; raise what a pool of connections raises."""
        async with self._network.hold_while_paused(self._address):
            with anyio.fail_after(timeout_s):
                return await self._network.call_store(self._address, target)

    async def close(self) -> None:
        """Nothing to close."""
