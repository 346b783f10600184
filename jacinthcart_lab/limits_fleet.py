"""A fleet of rate limiters over a simulated network, in virtual time."""

import collections
import math
import random
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.errors import (
    NotSentError,
    OutcomeUnknownError,
    RefusalError,
)
from jacinthcart.limits import (
    BasePeerMessenger,
    Borrower,
    Lender,
    PermitClient,
    PermitService,
    TokenLedger,
)
from jacinthcart.settings import SettingsView
from jacinthcart.telemetry import DecisionLog, Metrics

#: One-way delay between entry and control of a VM, in seconds.
_LOCAL_DELAY_S = 0.0005


class SimulatedNetwork:
    """Simulates datagram delay, duplication, loss and network partitions."""

    def __init__(self, tasks: TaskGroup, rng: random.Random) -> None:
        """Start without loss and with the delays between two data centres."""
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_range_s = (0.0003, 0.0015)
        self.local_delay_s = _LOCAL_DELAY_S
        #: Side of the network partition; VMs that are left out are on side 0.
        self.side_by_vm: dict[str, int] = {}
        self.vms_by_id: dict[str, 'SimulatedVm'] = {}
        self.sent_by_kind: collections.Counter[str] = collections.Counter()
        self._tasks = tasks
        self._rng = rng

    def transmit(self, sender: str, to: str, message: dict[str, Any]) -> None:
        """Send a datagram unless it is lost or a network partition stops it."""
        self.sent_by_kind[message['kind']] += 1
        if self.side_by_vm.get(sender, 0) != self.side_by_vm.get(to, 0):
            return
        copies = 1 + (self._rng.random() < self.duplication)
        for _ in range(copies):
            if self._rng.random() >= self.loss:
                delay_s = self._rng.uniform(*self.delay_range_s)
                self._tasks.start_soon(self._deliver, to, message, delay_s)

    async def _deliver(
        self,
        to: str,
        message: dict[str, Any],
        delay_s: float,
    ) -> None:
        await anyio.sleep(delay_s)
        await self.vms_by_id[to].receive(message)


class _VmMessenger(BasePeerMessenger):
    """Sends datagrams through the network once its VM is not paused."""

    def __init__(self, vm: 'SimulatedVm') -> None:
        self._vm = vm

    async def send(self, vm_id: str, message: dict[str, Any]) -> None:
        await self._vm.wait_until_resumed()
        self._vm.network.transmit(self._vm.vm_id, vm_id, message)


class SimulatedControl:
    """The rate limiter of one control process."""

    def __init__(self, vm: 'SimulatedVm', seed: int) -> None:
        """Create the components without any state."""
        clock = anyio.current_time
        rng = random.Random(seed)
        messenger = _VmMessenger(vm)
        metrics = vm.metrics
        self.scope = anyio.CancelScope()
        self.ledger = TokenLedger(
            vm.vm_id,
            clock,
            metrics,
            DecisionLog(),
            rng,
        )
        self.lender = Lender(self.ledger, messenger, clock, metrics)
        self.borrower = Borrower(self.ledger, messenger, clock, metrics, rng)
        self.service = PermitService(self.borrower, clock)

    async def run(self) -> None:
        """Borrow tokens in the background until killed."""
        with self.scope:
            await self.borrower.run()


class SimulatedVm:
    """A VM with an entry and a control process."""

    def __init__(
        self,
        vm_id: str,
        network: SimulatedNetwork,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Create the VM; `start` starts its programs."""
        self.vm_id = vm_id
        self.network = network
        self.metrics = Metrics()
        self.control: SimulatedControl | None = None
        self._tasks = tasks
        self._rng = rng
        self._resumed = anyio.Event()
        self._resumed.set()
        self._entry_scope = anyio.CancelScope()
        self._client: PermitClient | None = None

    def start(
        self,
        view: SettingsView,
        roster_active_since: float = -math.inf,
    ) -> None:
        """Start both programs without any state."""
        self.start_control(view, roster_active_since)
        self._client = PermitClient(
            self._post,
            lambda: view.policy.permit_batch_ms,
            anyio.current_time,
            self.metrics,
        )
        self._entry_scope = anyio.CancelScope()
        scope = self._entry_scope
        self._tasks.start_soon(self._run_entry, self._client, scope)

    def start_control(
        self,
        view: SettingsView,
        roster_active_since: float = -math.inf,
    ) -> None:
        """Start control without state.

        `roster_active_since` is the time at which the roster took effect.
        """
        self.control = SimulatedControl(self, self._rng.getrandbits(64))
        self.control.ledger.record_roster_activation(roster_active_since)
        self.control.ledger.apply_settings(view)
        self._tasks.start_soon(self.control.run)

    def kill_control(self) -> None:
        """Kill control; its state is lost."""
        if self.control is not None:
            self.control.scope.cancel()
        self.control = None

    def kill(self) -> None:
        """Kill both programs; their state is lost."""
        self.kill_control()
        self._entry_scope.cancel()
        self._client = None

    def pause(self) -> None:
        """Pause both programs; datagrams are delivered after `resume`."""
        if self._resumed.is_set():
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Resume both programs."""
        self._resumed.set()

    async def wait_until_resumed(self) -> None:
        """Wait while the VM is paused."""
        await self._resumed.wait()

    async def receive(self, message: dict[str, Any]) -> None:
        """Deliver a datagram to control."""
        await self.wait_until_resumed()
        control = self.control
        if control is None:
            return
        receiver = {
            'borrow': control.lender.handle,
            'lend': control.borrower.handle,
        }[message['kind']]
        await receiver(message, anyio.current_time())

    async def request(self, workspace_id: str) -> bool | None:
        """Return whether a request is admitted.

        None means no response: the entry is down or 5 s have passed.
        """
        await self.wait_until_resumed()
        client = self._client
        if client is None:
            return None
        try:
            with anyio.fail_after(5):
                await client.acquire(workspace_id)
        except RefusalError:
            return False
        except TimeoutError:
            return None
        return True

    async def _run_entry(
        self,
        client: PermitClient,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            await client.run()

    async def _post(self, body: dict[str, Any]) -> dict[str, Any]:
        control = self.control
        if control is None:
            raise NotSentError('control is down')
        await anyio.sleep(self.network.local_delay_s)
        await self.wait_until_resumed()
        reply = await control.service.handle(body)
        await anyio.sleep(self.network.local_delay_s)
        await self.wait_until_resumed()
        if self.control is not control:
            raise OutcomeUnknownError('control was killed')
        return reply


class SimulatedFleet:
    """All VMs, with the times of admitted and refused requests."""

    def __init__(
        self,
        vm_ids: list[str],
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Create all VMs; `start` starts them."""
        self.network = SimulatedNetwork(tasks, rng)
        self.admitted_at: list[float] = []
        self.refused_at: list[float] = []
        self._tasks = tasks
        self._rng = rng
        for vm_id in vm_ids:
            vm = SimulatedVm(vm_id, self.network, tasks, rng)
            self.network.vms_by_id[vm_id] = vm

    @property
    def vms(self) -> list[SimulatedVm]:
        """All VMs."""
        return list(self.network.vms_by_id.values())

    def start(self, view: SettingsView) -> None:
        """Start every VM."""
        for vm in self.vms:
            vm.start(view)

    async def call(self, vm: SimulatedVm, workspace_id: str) -> None:
        """Send a request and record the time of its outcome."""
        admitted = await vm.request(workspace_id)
        if admitted is None:
            return
        times = self.admitted_at if admitted else self.refused_at
        times.append(anyio.current_time())

    async def send_requests(
        self,
        workspace_id: str,
        rate: float,
        choose_vm: Callable[[], SimulatedVm],
    ) -> None:
        """Send requests with exponential intervals until cancelled."""
        while True:
            await anyio.sleep(self._rng.expovariate(rate))
            self._tasks.start_soon(self.call, choose_vm(), workspace_id)
