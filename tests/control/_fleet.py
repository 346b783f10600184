"""A simulated fleet of control nodes in one trio run with virtual time."""

import math
import random

import anyio
import trio
from trio.testing import MockClock

from jacinthcart.control import (
    BasePermitService,
    ControlNode,
    NodeDependencies,
)
from jacinthcart.control._state_service import StateService
from jacinthcart.settings import (
    Endpoint,
    ProcessSettings,
    SettingsStore,
    decode_values,
)
from jacinthcart.telemetry import Logger, Metrics
from tests.control._fakes import (
    FIRST_PORT,
    Buffer,
    FakeDatagrams,
    FakePeerClient,
    FakePlatform,
    FakeService,
    Gate,
    Network,
)

KEYS = 'teams/voskovka/keys/praha'
DIGEST = 'a' * 64
ISOLATION_S = 2.5
LEASE_S = 2.0


class NullLogger(Logger):
    """Discards all log lines."""

    def _write(self, level, event, fields):
        """Write nothing."""


class FakeLocalProcess:
    """Polls a node like entry and gather and applies what it receives."""

    def __init__(self, vm, program):
        """Create a process without a lease."""
        self.store = SettingsStore()
        self.lease_expires_at = 0.0
        self._vm = vm
        self._program = program
        self._version = ''

    @property
    def view(self):
        """Return the settings in force."""
        return self.store.view

    @property
    def has_key(self):
        """Return whether the test key is granted."""
        return DIGEST in self.store.view.workspace_id_by_digest

    @property
    def is_serving(self):
        """Return whether the lease is valid and the VM is not paused."""
        if self._vm.gate.is_paused:
            return False
        return trio.current_time() < self.lease_expires_at

    async def run(self):
        """Poll until cancelled; raise AssertionError if a view reverts."""
        while True:
            await self._vm.gate.wait_until_resumed()
            sent_at = trio.current_time()
            state = await StateService(self._vm.node).poll(
                self._program,
                self._version,
                int(LEASE_S * 250),
                ready=True,
            )
            await self._vm.gate.wait_until_resumed()
            self._apply_state(state, sent_at)
            await anyio.sleep(0.001)

    def _apply_state(self, state, sent_at):
        before = self.store.revision
        self.store.apply(decode_values(state['values']), state['revision'])
        if self.store.view.revision < before:
            raise AssertionError('view reverted to an older revision')
        self._version = state['version']
        self.lease_expires_at = sent_at + state['lease_ms'] / 1000 * 0.99


class RecordingPermits(BasePermitService):
    """Grants nothing and records the activation time of the roster."""

    def __init__(self):
        """Create a service without an activation time."""
        self.activated_at = math.inf

    def record_roster_activation(self, activated_at):
        """Record the earliest time."""
        self.activated_at = min(self.activated_at, activated_at)

    async def handle(self, body):
        """Grant nothing."""
        return {'granted': {}, 'retry_after_ms': {}}

    async def handle_datagram(self, message, received_at):
        """Ignore the datagram."""

    def apply_settings(self, view):
        """Ignore the settings."""

    async def run(self):
        """Do nothing."""

    def describe(self):
        """Return an empty description."""
        return {}


class FakeVm:
    """One VM: a node, its local processes and its fake dependencies."""

    def __init__(self, fleet, number, seeds=()):
        """Create a VM; `run` runs it."""
        self.vm_id = f'vm{number:03}'
        self.endpoint = Endpoint(
            address='127.0.0.1',
            port=FIRST_PORT + number,
        )
        self.gate = Gate()
        self.input_gate = Gate()
        self.buffer = Buffer()
        self.platform = FakePlatform(fleet.service, self.gate)
        self.datagrams = FakeDatagrams(self, fleet.network)
        self.permits = RecordingPermits()
        self.node = ControlNode(
            _create_process(self, seeds),
            NodeDependencies(
                platform=self.platform,
                peer_client=FakePeerClient(self, fleet.network),
                datagrams=self.datagrams,
                permits=self.permits,
                clock=trio.current_time,
                random=fleet.random,
                metrics=Metrics(),
                logger=NullLogger('control'),
            ),
        )
        self.entry = FakeLocalProcess(self, 'entry')
        self.gather = FakeLocalProcess(self, 'gather')
        self._scope = anyio.CancelScope()

    async def run(self):
        """Run until `stop`."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self.datagrams.run, self.node.datagram_handler.handle
                )
                tasks.start_soon(self.node.run)
                tasks.start_soon(self.entry.run)
                tasks.start_soon(self.gather.run)

    def stop(self):
        """Stop the VM immediately."""
        self._scope.cancel()

    @property
    def view(self):
        """Return the settings in force."""
        return self.node.state.view

    @property
    def warm_entries(self):
        """Return the warm table."""
        return self.node.state.warm.export()

    @property
    def peers_by_vm(self):
        """Return the VMs to which heartbeats are sent."""
        return self.node.heartbeats.peers_by_vm

    @property
    def revision(self):
        """Return the revision in force."""
        return self.node.state.view.revision


class Fleet:
    """VMs that share one configuration service and one network."""

    def __init__(self, count, tasks, seed=1):
        """Create a roster of `count` VMs and a key, at revision 3."""
        self.random = random.Random(seed)
        self.service = FakeService()
        self.network = Network(self.random)
        self.vms = []
        self._tasks = tasks
        self._count = count
        self.service.put({'fleet/roster': create_roster(count)})
        self.service.put({'fleet/policy': {}})
        self.service.put({KEYS: {'sha256_digests': [DIGEST]}})

    def add(self, number, seeds=()):
        """Start VM `number`, replacing an existing one."""
        vm = FakeVm(self, number, seeds)
        self.network.vms_by_port[vm.endpoint.port] = vm
        self.vms = [old for old in self.vms if old.vm_id != vm.vm_id]
        self.vms.append(vm)
        self.vms.sort(key=lambda started: started.vm_id)
        self._tasks.start_soon(vm.run)
        return vm

    async def start(self):
        """Start all VMs and wait until they serve."""
        for number in range(self._count):
            self.add(number)
        await anyio.sleep(4)

    def serving(self):
        """Return the ids of the VMs whose entry has a valid lease."""
        return {vm.vm_id for vm in self.vms if vm.entry.is_serving}

    def revoke_key(self):
        """Revoke the test key."""
        return self.service.put({KEYS: {'sha256_digests': []}})


def run_fleet(count, scenario, seed=1):
    """Run `scenario(fleet)` in virtual time."""

    async def run():
        async with anyio.create_task_group() as tasks:
            await scenario(Fleet(count, tasks, seed))
            tasks.cancel_scope.cancel()

    anyio.run(
        run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def create_roster(count):
    """Return a roster value of `count` VMs."""
    return {
        'vms_by_id': {
            f'vm{number:03}': {
                'address': '127.0.0.1',
                'data_centre': 'a',
                'entry_port': 1,
                'gather_port': 1,
                'control_port': FIRST_PORT + number,
                'admin_port': 1,
            }
            for number in range(count)
        },
    }


def _create_process(vm, seeds):
    return ProcessSettings(
        vm_id=vm.vm_id,
        data_centre='a',
        address='127.0.0.1',
        entry_port=1,
        gather_port=1,
        control_port=vm.endpoint.port,
        admin_port=1,
        admin_key_sha256='0' * 64,
        config_service=Endpoint(address='127.0.0.1', port=1),
        seed_peers=tuple(seeds),
    )
