"""One soak: a fleet, callers, a seeded series of faults, and a verdict."""

import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from jacinthcart.network import Endpoint
from jacinthcart_emulator.platform_store import StoreFault
from jacinthcart_lab.platform_deployment import (
    DeploymentTerms,
    PlatformDeployment,
)
from jacinthcart_lab.soak._checks import Call, check_calls
from jacinthcart_lab.soak._proxy import FaultProxy, ProxyMode

_KEY_BOUND_S = 3.0
_GRACE_S = 3.0
_READY_S = 30.0
_RECOVERY_S = 12.0
_CALL_TIMEOUT_S = 3.0
_STOPPED_PAUSE_S = 0.05
_LOG_LINES = 20
_PROXY_ADDRESS = '127.0.4.1'


@dataclasses.dataclass(frozen=True)
class SoakTerms:
    """Size of one soak."""

    seed: int
    #: Seconds of faults.
    seconds: float = 15.0
    vms: int = 4
    callers: int = 8


@dataclasses.dataclass
class SoakReport:
    """What one soak saw."""

    seed: int
    broken: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    calls: int = 0
    answered: int = 0
    #: Share of requests answered after the last fault.
    recovered_share: float = 0


class _Vm:
    """One process of the system and its way to the store."""

    def __init__(
        self,
        number: int,
        settings: pathlib.Path,
        log: pathlib.Path,
        proxy: FaultProxy,
    ) -> None:
        self.number = number
        self.proxy = proxy
        self.log = log
        self.is_expected_to_run = False
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, 'JACINTHCART_CONFIG': str(self._settings)}
        with self.log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'jacinthcart.platform'],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_expected_to_run = True

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this soak started."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether no process runs."""
        return self._process is None or self._process.poll() is not None

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        while self._process is not None and self._process.poll() is None:
            await anyio.sleep(_STOPPED_PAUSE_S)
        return self._process.returncode if self._process else 0


class _Soak:
    """Everything of one run."""

    def __init__(self, terms: SoakTerms, folder: pathlib.Path) -> None:
        self.report = SoakReport(terms.seed)
        self._terms = terms
        self._folder = folder
        self._random = random.Random(terms.seed)
        size = DeploymentTerms(vms=terms.vms, replicas=3)
        self._deployment = PlatformDeployment(size, self._random)
        self._vms: list[_Vm] = []
        self._calls: list[Call] = []
        self._requests = 0
        self._revoked_at_by_key: dict[str, float] = {}
        self._is_over = False

    async def run(self) -> None:
        """Play the faults and check the promises."""
        try:
            async with anyio.create_task_group() as tasks:
                await self._start(tasks)
                await self._play(tasks)
                await self._recover()
                self._is_over = True
                tasks.cancel_scope.cancel()
        finally:
            for vm in self._vms:
                vm.send(signal.SIGCONT)
                vm.send(signal.SIGKILL)
                with anyio.CancelScope(shield=True):
                    await vm.wait()
        self._check()

    async def _start(self, tasks: TaskGroup) -> None:
        await self._deployment.start(tasks)
        for number in range(self._terms.vms):
            endpoint = Endpoint(address=_PROXY_ADDRESS, port=_free_port())
            target = self._deployment.store_endpoint
            proxy = FaultProxy(endpoint, target)
            await proxy.start(tasks)
            path = self._deployment.write_settings(
                number,
                self._folder,
                store=endpoint,
            )
            log = self._folder / f'vm-{number}.log'
            vm = _Vm(number, path, log, proxy)
            vm.start()
            self._vms.append(vm)
        with anyio.fail_after(_READY_S):
            for vm in self._vms:
                while not await self._is_served_by(vm.number):
                    await anyio.sleep(_STOPPED_PAUSE_S)
        for _ in range(self._terms.callers):
            tasks.start_soon(self._call_for_ever)

    async def _is_served_by(self, vm: int) -> bool:
        async with httpx.AsyncClient(timeout=_CALL_TIMEOUT_S) as client:
            return (await self._call(client, vm, 'search')).status == 200

    async def _play(self, tasks: TaskGroup) -> None:
        until = anyio.current_time() + self._terms.seconds
        while anyio.current_time() < until:
            fault = self._random.choice(self._list_faults(tasks))
            tasks.start_soon(fault)
            await anyio.sleep(self._random.uniform(0.1, 2.0))

    def _list_faults(
        self,
        tasks: TaskGroup,
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._freeze,
            self._kill,
            self._stop,
            self._break_store,
            self._break_proxy,
            self._break_searcher,
            self._replace_key,
            self._drain_searcher,
            lambda: self._crash_searcher(tasks),
        ]

    async def _freeze(self) -> None:
        vm = self._random.choice(self._vms)
        seconds = self._random.uniform(0.3, 5.0)
        self._note(f'freeze vm-{vm.number} for {seconds:.1f} s')
        vm.send(signal.SIGSTOP)
        await anyio.sleep(seconds)
        vm.send(signal.SIGCONT)

    async def _kill(self) -> None:
        count = self._random.choice((1, 1, 2, len(self._vms)))
        for vm in self._random.sample(self._vms, count):
            if not vm.is_expected_to_run:
                continue
            self._note(f'kill vm-{vm.number}')
            vm.is_expected_to_run = False
            vm.send(signal.SIGKILL)
            await vm.wait()
            await anyio.sleep(self._random.uniform(0, 0.5))
            vm.start()

    async def _stop(self) -> None:
        vm = self._random.choice(self._vms)
        if not vm.is_expected_to_run:
            return
        self._note(f'stop vm-{vm.number}')
        vm.is_expected_to_run = False
        vm.send(signal.SIGTERM)
        with anyio.move_on_after(_GRACE_S * 2):
            await vm.wait()
        vm.send(signal.SIGKILL)
        await vm.wait()
        vm.start()

    async def _break_store(self) -> None:
        store = self._deployment.store
        fault = self._random.choice(list(StoreFault))
        seconds = self._random.uniform(0.5, 5.0)
        self._note(f'store {fault} for {seconds:.1f} s')
        store.fault = fault
        if self._random.random() < 0.3:
            store.forget_history()
        await anyio.sleep(seconds)
        store.fault = StoreFault.NONE

    async def _break_proxy(self) -> None:
        vm = self._random.choice(self._vms)
        mode = self._random.choice(list(ProxyMode))
        seconds = self._random.uniform(0.5, 6.0)
        self._note(f'way of vm-{vm.number} to store {mode} {seconds:.1f} s')
        await vm.proxy.switch(mode)
        await anyio.sleep(seconds)
        await vm.proxy.switch(ProxyMode.PASS)

    async def _break_searcher(self) -> None:
        searchers = list(self._deployment.searchers_by_id.values())
        chosen = self._random.choice(searchers)
        name = self._random.choice(
            ('reset', 'garble', 'extra', 'failure', 'shed'),
        )
        self._note(f'searcher {chosen.searcher_id} {name}')
        setattr(chosen.faults, f'{name}_share', self._random.uniform(0.1, 0.9))
        chosen.faults.is_silent = self._random.random() < 0.2
        await anyio.sleep(self._random.uniform(1, 4))
        setattr(chosen.faults, f'{name}_share', 0)
        chosen.faults.is_silent = False

    async def _replace_key(self) -> None:
        deployment = self._deployment
        old = deployment.keys[0]
        new = f'key-{len(self._revoked_at_by_key) + 2}'
        deployment.keys = [old, new]
        deployment.publish_config()
        await anyio.sleep(self._random.uniform(0.2, 2))
        if deployment.keys != [old, new]:
            return
        deployment.keys = [new]
        deployment.publish_config()
        self._revoked_at_by_key[old] = time.monotonic()
        self._note(f'key {old} withdrawn')

    async def _drain_searcher(self) -> None:
        searcher_id = self._random.choice(
            list(self._deployment.searchers_by_id),
        )
        self._note(f'searcher {searcher_id} drains and returns')
        self._deployment.announce(searcher_id, 'draining')
        await anyio.sleep(self._random.uniform(1, 4))
        self._deployment.announce(searcher_id)

    async def _crash_searcher(self, tasks: TaskGroup) -> None:
        deployment = self._deployment
        searcher_id = self._random.choice(list(deployment.searchers_by_id))
        searcher = deployment.searchers_by_id.pop(searcher_id)
        self._note(f'searcher {searcher_id} crashes')
        await searcher.close()
        await anyio.sleep(self._random.uniform(0.5, 3))
        deployment.store.remove(f'servers/{searcher_id}')
        again = f'{searcher.service}-n{self._random.getrandbits(32):08x}'
        await deployment.start_searcher(again, searcher.service, tasks)

    async def _recover(self) -> None:
        for vm in self._vms:
            vm.send(signal.SIGCONT)
            await vm.proxy.switch(ProxyMode.PASS)
        self._deployment.store.fault = StoreFault.NONE
        await anyio.sleep(_RECOVERY_S)
        since = time.monotonic()
        await anyio.sleep(2)
        # Withdrawn keys are refused as they should be.
        late = [
            call
            for call in self._calls
            if call.sent_at >= since and call.key in self._deployment.keys
        ]
        served = sum(call.status == 200 for call in late)
        self.report.recovered_share = served / max(1, len(late))

    async def _call_for_ever(self) -> None:
        while True:
            # Callers keep connections open until the process is gone.
            async with httpx.AsyncClient(timeout=_CALL_TIMEOUT_S) as client:
                vm = self._random.randrange(len(self._vms))
                for _ in range(self._random.randrange(5, 60)):
                    kind = self._random.choice(('search', 'search', 'order'))
                    call = await self._call(client, vm, kind)
                    if call.status == 0:
                        break
                    await anyio.sleep(self._random.uniform(0.005, 0.05))
            await anyio.sleep(_STOPPED_PAUSE_S)

    async def _call(
        self,
        client: httpx.AsyncClient,
        vm: int,
        kind: str,
    ) -> Call:
        self._requests += 1
        request_id = f'{self._terms.seed:08x}{self._requests:08x}'
        key = self._random.choice(
            [*self._deployment.keys, *self._revoked_at_by_key],
        )
        address = self._deployment.addresses[vm]
        sent_at = time.monotonic()
        call = Call(request_id, kind, key, vm, sent_at, sent_at, 0)
        self._calls.append(call)
        index = len(self._calls) - 1
        try:
            response = await client.request(
                'GET' if kind == 'search' else 'POST',
                f'http://{address}:{self._deployment.callers_port}/{kind}/x',
                headers={
                    'Host': 'shop.example',
                    'X-Jacinthcart-Request-Id': request_id,
                    'X-Jacinthcart-Deadline-Ms': '2000',
                    'X-Jacinthcart-Credential': key,
                },
            )
        except httpx.HTTPError:
            # A killed or frozen VM; nothing is promised about the request.
            return call
        stamps = response.headers.get('X-Jacinthcart-Part-Stamps', '')
        call = dataclasses.replace(
            call,
            ended_at=time.monotonic(),
            status=response.status_code,
            stamps=tuple(stamps.split(', ')) if stamps else (),
            missing=int(response.headers.get('X-Jacinthcart-Missing-Parts', 0)),
            body=response.content,
        )
        self._calls[index] = call
        return call

    def _check(self) -> None:
        report = self.report
        report.calls = len(self._calls)
        report.answered = sum(call.status == 200 for call in self._calls)
        report.broken = check_calls(
            self._calls,
            self._deployment.executions,
            [
                one
                for one in self._deployment.list_services()
                if one != 'orders'
            ],
            self._revoked_at_by_key,
            _KEY_BOUND_S,
        )
        if report.recovered_share < 0.5:
            report.broken.append(
                f'only {report.recovered_share:.2f} served after the faults',
            )
        for vm in self._vms:
            text = vm.log.read_text(errors='replace')
            if 'Traceback' in text:
                tail = '\n'.join(text.splitlines()[-_LOG_LINES:])
                report.broken.append(f'vm-{vm.number} failed: {tail}')

    def _note(self, fault: str) -> None:
        self.report.faults.append(fault)


def run_soak(terms: SoakTerms, keep: pathlib.Path | None = None) -> SoakReport:
    """Run one soak; keep its logs under `keep` if a promise broke."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        soak = _Soak(terms, folder)
        anyio.run(soak.run)
        if soak.report.broken and keep is not None:
            target = keep / f'seed-{terms.seed}'
            target.mkdir(parents=True, exist_ok=True)
            for log in folder.glob('*.log'):
                (target / log.name).write_bytes(log.read_bytes())
    return soak.report


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((_PROXY_ADDRESS, 0))
        return int(probe.getsockname()[1])
