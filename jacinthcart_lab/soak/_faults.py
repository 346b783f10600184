"""Fault injection of a soak, from outside the processes."""

import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart_emulator.platform_store import StoreFault
from jacinthcart_lab.platform_deployment import ZONES, PlatformDeployment
from jacinthcart_lab.soak._disturbances import Disturbances
from jacinthcart_lab.soak._proxy import ProxyMode
from jacinthcart_lab.soak._searcher_faults import SearcherFaults
from jacinthcart_lab.soak._vm import SoakVm

#: `grace_s` of the VMs, in seconds.
_GRACE_S = 3.0
_DISCARD_FRACTION = 0.3
#: Maximum age in seconds of the copy from which the store comes back, and
#: maximum time for which it is away before (platform contract).
_MAX_COPY_AGE_S = 10.0
_MAX_AWAY_S = 5.0
#: Shortest and longest time between two heartbeats, in seconds.
_HEARTBEAT_INTERVALS_S = (0.03, 0.3)
#: Number of routes of a version that others don't have. Each is in force for
#: longer than the bound, so that a VM without it is noticed.
_EXTRA_ROUTES = 4


class SoakFaults:
    """Injects seeded faults, which may overlap."""

    def __init__(
        self,
        deployment: PlatformDeployment,
        vms: list[SoakVm],
        random_source: random.Random,
    ) -> None:
        """Inject faults into `deployment` and `vms`."""
        #: Monotonic time and description of each injected fault.
        self.injected: list[str] = []
        #: Keys that a version has revoked.
        self.revoked_keys: list[str] = []
        self.disturbances = Disturbances()
        self._deployment = deployment
        self._vms = vms
        self._random = random_source
        self._searcher_faults = SearcherFaults(
            deployment, random_source, self._record
        )

    async def inject(
        self, seconds: float, tasks: TaskGroup, *, has_last_return: bool
    ) -> None:
        """Start faults at random for `seconds`; the last ones end later.

        With `has_last_return`, the store returns after the last heartbeat.
        """
        started_at = anyio.current_time()
        until = started_at + seconds
        async with anyio.create_task_group() as heartbeats:
            heartbeats.start_soon(self._write_heartbeats)
            while anyio.current_time() < until:
                fault = self._random.choice(
                    self._list_faults(tasks, started_at)
                )
                tasks.start_soon(fault)
                await anyio.sleep(self._random.uniform(0.1, 2))
            heartbeats.cancel_scope.cancel()
        if has_last_return:
            tasks.start_soon(self._return_store, tasks, started_at)

    async def change_routes(self) -> None:
        """Publish versions that add and drop routes, until cancelled."""
        deployment = self._deployment
        while True:
            if len(deployment.extra_routes) < _EXTRA_ROUTES:
                name = f'route-{deployment.version}'
                deployment.extra_routes.append(name)
            else:
                former = deployment.extra_routes.pop(0)
                deployment.former_routes.append(former)
            deployment.publish_config()
            await anyio.sleep(self._random.uniform(0.3, 2))

    async def drain(self, seconds: float) -> None:
        """Publish a searcher as draining for a time."""
        await self._searcher_faults.drain(seconds)

    def _list_faults(
        self,
        tasks: TaskGroup,
        started_at: float,
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._pause_vm,
            self._kill_vms,
            self._stop_vm,
            self._inject_store_fault,
            self._inject_proxy_fault,
            self._replace_key,
            self._evacuate,
            lambda: self._return_store(tasks, started_at),
            lambda: self._return_store(tasks, started_at),
            self._searcher_faults.break_responses,
            lambda: self._searcher_faults.drain(self._random.uniform(1, 8)),
            self._searcher_faults.reject_for_a_while,
            lambda: self._searcher_faults.crash(tasks),
            lambda: self._searcher_faults.leave(tasks),
        ]

    async def _write_heartbeats(self) -> None:
        """Let searchers write their state again and again.

        With short intervals, a return loses more writes than are written
        again after it, so that the revisions stay lower for a time.
        """
        deployment = self._deployment
        interval_s = self._random.uniform(*_HEARTBEAT_INTERVALS_S)
        while True:
            await anyio.sleep(interval_s)
            searcher_id = self._random.choice(list(deployment.searchers_by_id))
            deployment.writers.repeat(f'servers/{searcher_id}')

    async def _pause_vm(self) -> None:
        vm = self._random.choice(self._vms)
        seconds = self._random.uniform(0.3, 5.0)
        self._record(f'pause vm-{vm.number} for {seconds:.1f} s')
        with self.disturbances.record(vm.number):
            vm.send_signal(signal.SIGSTOP)
            await anyio.sleep(seconds)
            vm.send_signal(signal.SIGCONT)

    async def _kill_vms(self) -> None:
        count = self._random.choice((1, 1, 2, len(self._vms)))
        for vm in self._random.sample(self._vms, count):
            if not vm.is_expected_to_run:
                continue
            self._record(f'kill vm-{vm.number}')
            vm.is_expected_to_run = False
            with self.disturbances.record(vm.number):
                vm.send_signal(signal.SIGKILL)
                await vm.wait()
                await anyio.sleep(self._random.uniform(0, 0.5))
                vm.start()

    async def _stop_vm(self) -> None:
        vm = self._random.choice(self._vms)
        if not vm.is_expected_to_run:
            return
        self._record(f'stop vm-{vm.number}')
        vm.is_expected_to_run = False
        with self.disturbances.record(vm.number):
            vm.send_signal(signal.SIGTERM)
            with anyio.move_on_after(_GRACE_S * 2):
                await vm.wait()
            vm.send_signal(signal.SIGKILL)
            await vm.wait()
            vm.start()

    async def _inject_store_fault(self) -> None:
        store = self._deployment.store
        fault = self._random.choice(list(StoreFault))
        seconds = self._random.uniform(0.5, 5.0)
        self._record(f'store {fault} for {seconds:.1f} s')
        with self.disturbances.record(None):
            store.fault = fault
            if self._random.random() < _DISCARD_FRACTION:
                store.discard_history()
            await anyio.sleep(seconds)
            store.fault = StoreFault.NONE

    async def _return_store(self, tasks: TaskGroup, started_at: float) -> None:
        """Let the store come back from older copies, once or in series."""
        store = self._deployment.store
        with self.disturbances.expect_more():
            for _ in range(self._random.choice((1, 1, 2, 3))):
                if store.is_away:
                    return
                # Faults start after the first configuration: copies have one.
                age_s = min(
                    self._random.uniform(0, _MAX_COPY_AGE_S),
                    anyio.current_time() - started_at,
                )
                away_s = self._random.uniform(0, _MAX_AWAY_S)
                self._record(
                    f'store away for {away_s:.1f} s, back from a copy '
                    f'{age_s:.1f} s old',
                )
                keeps_history = self._random.random() >= _DISCARD_FRACTION
                with self.disturbances.record(None):
                    await self._deployment.writers.play_return(
                        age_s, away_s, tasks, keeps_history=keeps_history
                    )
                await anyio.sleep(self._random.uniform(0, 2))

    async def _inject_proxy_fault(self) -> None:
        vm = self._random.choice(self._vms)
        mode = self._random.choice(list(ProxyMode))
        seconds = self._random.uniform(0.5, 6.0)
        self._record(f'vm-{vm.number} to store: {mode} for {seconds:.1f} s')
        with self.disturbances.record(vm.number):
            await vm.proxy.switch(mode)
            await anyio.sleep(seconds)
            await vm.proxy.switch(ProxyMode.PASS)

    async def _replace_key(self) -> None:
        deployment = self._deployment
        old = deployment.keys[0]
        new = f'key-{len(self.revoked_keys) + 2}'
        deployment.keys = [old, new]
        deployment.publish_config()
        await anyio.sleep(self._random.uniform(0.2, 2))
        if deployment.keys != [old, new]:
            return
        deployment.keys = [new]
        deployment.publish_config()
        self.revoked_keys.append(old)
        self._record(f'revoke key {old}')

    async def _evacuate(self) -> None:
        zone = self._random.choice(ZONES)
        seconds = self._random.uniform(0.5, 3)
        self._record(f'evacuate {zone} for {seconds:.1f} s')
        self._deployment.set_evacuation(zone, is_requested=True)
        await anyio.sleep(seconds)
        self._deployment.set_evacuation(zone, is_requested=False)

    def _record(self, fault: str) -> None:
        self.injected.append(f'{time.monotonic():.3f} {fault}')
