"""Fault injection of a soak, from outside the processes."""

import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart_emulator.platform_store import StoreFault
from jacinthcart_lab.platform_deployment import PlatformDeployment
from jacinthcart_lab.soak._proxy import ProxyMode
from jacinthcart_lab.soak._searcher_faults import SearcherFaults
from jacinthcart_lab.soak._vm import SoakVm

#: `grace_s` of the VMs, in seconds.
_GRACE_S = 3.0
_DISCARD_FRACTION = 0.3


class SoakFaults:
    """Injects seeded faults, which may overlap."""

    def __init__(
        self,
        deployment: PlatformDeployment,
        vms: list[SoakVm],
        random_source: random.Random,
    ) -> None:
        """Inject faults into `deployment` and `vms`."""
        #: Description of each injected fault.
        self.injected: list[str] = []
        #: Monotonic time in seconds at which each key was revoked.
        self.revoked_at_by_key: dict[str, float] = {}
        self._deployment = deployment
        self._vms = vms
        self._random = random_source
        self._searcher_faults = SearcherFaults(
            deployment, random_source, self._record
        )

    async def inject(self, seconds: float, tasks: TaskGroup) -> None:
        """Start faults at random for `seconds`; the last ones end later."""
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            fault = self._random.choice(self._list_faults(tasks))
            tasks.start_soon(fault)
            await anyio.sleep(self._random.uniform(0.1, 2))

    def _list_faults(
        self,
        tasks: TaskGroup,
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._pause_vm,
            self._kill_vms,
            self._stop_vm,
            self._inject_store_fault,
            self._inject_proxy_fault,
            self._replace_key,
            self._searcher_faults.break_responses,
            self._searcher_faults.drain,
            self._searcher_faults.reject_for_a_while,
            lambda: self._searcher_faults.crash(tasks),
            lambda: self._searcher_faults.leave(tasks),
        ]

    async def _pause_vm(self) -> None:
        vm = self._random.choice(self._vms)
        seconds = self._random.uniform(0.3, 5.0)
        self._record(f'pause vm-{vm.number} for {seconds:.1f} s')
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
        store.fault = fault
        if self._random.random() < _DISCARD_FRACTION:
            store.discard_history()
        await anyio.sleep(seconds)
        store.fault = StoreFault.NONE

    async def _inject_proxy_fault(self) -> None:
        vm = self._random.choice(self._vms)
        mode = self._random.choice(list(ProxyMode))
        seconds = self._random.uniform(0.5, 6.0)
        self._record(f'vm-{vm.number} to store: {mode} for {seconds:.1f} s')
        await vm.proxy.switch(mode)
        await anyio.sleep(seconds)
        await vm.proxy.switch(ProxyMode.PASS)

    async def _replace_key(self) -> None:
        deployment = self._deployment
        old = deployment.keys[0]
        new = f'key-{len(self.revoked_at_by_key) + 2}'
        deployment.keys = [old, new]
        deployment.publish_config()
        await anyio.sleep(self._random.uniform(0.2, 2))
        if deployment.keys != [old, new]:
            return
        deployment.keys = [new]
        deployment.publish_config()
        self.revoked_at_by_key[old] = time.monotonic()
        self._record(f'revoke key {old}')

    def _record(self, fault: str) -> None:
        self.injected.append(fault)
