"""In-memory fakes of the platform and the network, in virtual time."""

import collections
import random
from collections.abc import Callable

import anyio
import trio

from jacinthcart.errors import WireError
from jacinthcart.membership import (
    MAX_DATAGRAM_BYTES,
    BaseDatagrams,
    decode_datagram,
)
from jacinthcart.settings import Endpoint, SettingsValue, encode_values
from jacinthcart.sync import (
    BasePeerClient,
    BasePlatform,
    WatchChanges,
    decode_peer_settings,
    decode_watch_changes,
)
from jacinthcart.wire import decode_json, encode_json

LATENCY_S = 0.001
FIRST_PORT = 10000


class Gate:
    """Suspends the input and output of a VM while it is paused."""

    def __init__(self):
        """Create a gate that is not paused."""
        self.is_paused = False
        self._resumed = anyio.Event()

    def pause(self):
        """Pause the VM."""
        self.is_paused = True

    def resume(self):
        """Resume the VM."""
        self.is_paused = False
        self._resumed.set()
        self._resumed = anyio.Event()

    async def wait_until_resumed(self):
        """Wait while the VM is paused."""
        while self.is_paused:
            await self._resumed.wait()


class FakeService:
    """A configuration service with fault injection."""

    def __init__(self):
        """Create an empty service at revision 0."""
        self.is_down = False
        self.calls = 0
        self.revision = 0
        self.values_by_path = {}
        self.history = {0: {}}
        self._changed = anyio.Event()

    def put(self, values_by_path):
        """Accept one change; return its revision."""
        self.revision += 1
        for path, value in values_by_path.items():
            self.values_by_path[path] = SettingsValue(self.revision, value)
        self.history[self.revision] = dict(self.values_by_path)
        self._changed.set()
        self._changed = anyio.Event()
        return self.revision

    def restart_at(self, revision):
        """Restart with the values of an older revision."""
        self.revision = revision
        self.values_by_path = dict(self.history[revision])

    async def watch(self, after, wait_s, stale_revision):
        """Answer one watch call, from `stale_revision` if it is given."""
        self.calls += 1
        self._check()
        if stale_revision is not None:
            await anyio.sleep(wait_s)
            return self._answer(stale_revision, after)
        with anyio.move_on_after(wait_s):
            while self.revision <= after:
                await self._changed.wait()
        self._check()
        return self._answer(self.revision, after)

    def _check(self):
        if self.is_down:
            raise WireError('service is down')

    def _answer(self, revision, after):
        values = {
            path: setting
            for path, setting in self.history[revision].items()
            if setting.revision > after
        }
        message = {'revision': revision, 'values': encode_values(values)}
        return decode_watch_changes(decode_json(encode_json(message)))


class Network:
    """Delivers datagrams and calls between VMs of the same partition."""

    def __init__(self, source: random.Random, loss: float = 0) -> None:
        """Create a network without partitions."""
        self.loss = loss
        self.call_s = LATENCY_S * 2
        self.are_calls_broken = False
        self.group_by_vm = {}
        self.vms_by_port = {}
        self.datagram_bytes = 0
        self._random = source

    def can_reach(self, sender, receiver):
        """Return whether two VMs are in the same group."""
        groups = self.group_by_vm
        return groups.get(sender, 0) == groups.get(receiver, 0)

    def find(self, sender, peer):
        """Return the VM at an endpoint, or None if it is unreachable."""
        receiver = self.vms_by_port.get(peer.port)
        if receiver and self.can_reach(sender, receiver.vm_id):
            return receiver
        return None

    def post(self, sender_vm, body, peer):
        """Deliver a datagram to the receiver's buffer, or drop it."""
        self.datagram_bytes += len(body)
        receiver = self.find(sender_vm.vm_id, peer)
        if receiver is None or self._random.random() < self.loss:
            return
        receiver.buffer.put(body, sender_vm.endpoint)


class Buffer:
    """The socket buffer of one VM."""

    def __init__(self):
        """Create an empty buffer."""
        self._waiting = collections.deque()
        self._arrived = anyio.Event()

    def put(self, body, source):
        """Add a datagram."""
        self._waiting.append((body, source))
        self._arrived.set()

    async def take(self):
        """Wait for the next datagram and return it."""
        while not self._waiting:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        return self._waiting.popleft()


class FakePlatform(BasePlatform):
    """The platform as seen by one VM."""

    def __init__(self, service: FakeService, gate: Gate) -> None:
        """Create a platform whose service is reachable and not stale."""
        self.service = service
        self.is_cut_off = False
        self.stale_revision = None
        self._gate = gate

    async def watch(self, after: int, wait_s: float) -> WatchChanges:
        """Watch the service; raise WireError if the VM is cut off."""
        await self._gate.wait_until_resumed()
        if self.is_cut_off:
            await anyio.sleep(1)
            raise WireError('service is not reachable')
        answer = await self.service.watch(after, wait_s, self.stale_revision)
        await anyio.sleep(LATENCY_S)
        await self._gate.wait_until_resumed()
        if self.is_cut_off:
            raise WireError('connection lost')
        return answer

    async def list_vms(self) -> dict[str, str]:
        """Raise WireError; these tests do not need the list."""
        raise WireError('VM list is not available')


class FakePeerClient(BasePeerClient):
    """HTTP calls to other VMs through the fake network."""

    def __init__(self, vm, network: Network) -> None:
        """Create the client of `vm`."""
        self._vm = vm
        self._network = network

    async def pull_settings(self, peer: Endpoint, after: int):
        """Pull settings; raise WireError if the peer is unreachable."""
        receiver = await self._reach(peer)
        message = receiver.node.export_settings(after)
        await self._vm.gate.wait_until_resumed()
        return decode_peer_settings(decode_json(encode_json(message)))

    async def pull_warm(self, peer: Endpoint):
        """Pull the warm table."""
        receiver = await self._reach(peer)
        return receiver.node.state.warm.export()

    async def _reach(self, peer):
        await self._vm.gate.wait_until_resumed()
        await anyio.sleep(self._network.call_s)
        receiver = self._network.find(self._vm.vm_id, peer)
        if self._network.are_calls_broken:
            receiver = None
        if receiver is None or receiver.gate.is_paused:
            await anyio.sleep(1)
            raise WireError('peer is not reachable')
        return receiver


class FakeDatagrams(BaseDatagrams):
    """Datagrams through the fake network."""

    def __init__(self, vm, network: Network) -> None:
        """Create the endpoint of `vm`."""
        self._vm = vm
        self._network = network

    async def send(self, message, peer):
        """Send a datagram; wait first while the VM is paused.

        Raise AssertionError if the datagram is too long.
        """
        await self._vm.gate.wait_until_resumed()
        body = encode_json(message)
        if len(body) > MAX_DATAGRAM_BYTES:
            raise AssertionError('datagram is too long')
        self._network.post(self._vm, body, peer)

    async def run(self, listener: Callable) -> None:
        """Pass received datagrams to `listener` until cancelled."""
        while True:
            body, source = await self._vm.buffer.take()
            await self._vm.input_gate.wait_until_resumed()
            await self._vm.gate.wait_until_resumed()
            message = decode_datagram(body)
            await listener(message, source, trio.current_time())
