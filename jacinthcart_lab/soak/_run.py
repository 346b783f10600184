"""One soak: a fleet, callers, a seeded series of faults, and a verdict."""

import dataclasses
import pathlib
import random
import signal
import tempfile
import time

import anyio
from anyio.abc import TaskGroup

from jacinthcart.network import Endpoint
from jacinthcart_emulator.platform_store import StoreFault
from jacinthcart_lab.platform_deployment import (
    DeploymentParameters,
    PlatformDeployment,
    find_ports,
)
from jacinthcart_lab.soak._callers import SoakCallers
from jacinthcart_lab.soak._checks import check_calls
from jacinthcart_lab.soak._faults import SoakFaults
from jacinthcart_lab.soak._proxy import FaultProxy, ProxyMode
from jacinthcart_lab.soak._vm import SoakVm

_KEY_BOUND_S = 3.0
_READY_S = 30.0
_RECOVERY_S = 12.0
_WATCHED_S = 2.0
_LEAST_RECOVERED = 0.5
_PAUSE_S = 0.05
_LOG_LINES = 20
_PROXY_ADDRESS = '127.0.4.1'


@dataclasses.dataclass(frozen=True)
class SoakParameters:
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


class _Soak:
    """Everything of one run."""

    def __init__(self, params: SoakParameters, folder: pathlib.Path) -> None:
        self.report = SoakReport(params.seed)
        self._params = params
        self._folder = folder
        source = random.Random(params.seed)
        size = DeploymentParameters(vms=params.vms, replicas=3)
        self._deployment = PlatformDeployment(size, source)
        self._vms: list[SoakVm] = []
        self._faults = SoakFaults(self._deployment, self._vms, source)
        self._callers = SoakCallers(
            self._deployment,
            params.seed,
            self._faults.revoked_at_by_key,
        )

    async def run(self) -> None:
        """Play the faults and check the promises."""
        try:
            async with anyio.create_task_group() as tasks:
                await self._start(tasks)
                await self._faults.play(self._params.seconds, tasks)
                await self._recover()
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
        for number in range(self._params.vms):
            self._vms.append(await self._create_vm(number, tasks))
        with anyio.fail_after(_READY_S):
            for vm in self._vms:
                while not await self._callers.is_served_by(vm.number):
                    await anyio.sleep(_PAUSE_S)
        for _ in range(self._params.callers):
            tasks.start_soon(self._callers.run)

    async def _create_vm(self, number: int, tasks: TaskGroup) -> SoakVm:
        endpoint = Endpoint(
            address=_PROXY_ADDRESS, port=find_ports(_PROXY_ADDRESS, 1)[0]
        )
        proxy = FaultProxy(endpoint, self._deployment.store_endpoint)
        await proxy.start(tasks)
        settings = self._deployment.write_settings(
            number,
            self._folder,
            store=endpoint,
        )
        log = self._folder / f'vm-{number}.log'
        vm = SoakVm(number, settings, log, proxy)
        vm.start()
        return vm

    async def _recover(self) -> None:
        for vm in self._vms:
            vm.send(signal.SIGCONT)
            await vm.proxy.switch(ProxyMode.PASS)
        self._deployment.store.fault = StoreFault.NONE
        await anyio.sleep(_RECOVERY_S)
        since = time.monotonic()
        await anyio.sleep(_WATCHED_S)
        # Withdrawn keys are refused as they should be.
        late = [
            call
            for call in self._callers.calls
            if call.sent_at >= since and call.key in self._deployment.keys
        ]
        served = sum(call.status == 200 for call in late)
        self.report.recovered_share = served / max(1, len(late))

    def _check(self) -> None:
        report = self.report
        calls = self._callers.calls
        report.faults = self._faults.notes
        report.calls = len(calls)
        report.answered = sum(call.status == 200 for call in calls)
        services = self._deployment.list_services()
        report.broken = check_calls(
            calls,
            self._deployment.executions,
            [one for one in services if one != 'orders'],
            self._faults.revoked_at_by_key,
            _KEY_BOUND_S,
        )
        if report.recovered_share < _LEAST_RECOVERED:
            report.broken.append(
                f'only {report.recovered_share:.2f} served after the faults',
            )
        for vm in self._vms:
            text = vm.log.read_text(errors='replace')
            if 'Traceback' in text:
                tail = '\n'.join(text.splitlines()[-_LOG_LINES:])
                report.broken.append(f'vm-{vm.number} failed: {tail}')


def run_soak(
    params: SoakParameters, keep: pathlib.Path | None = None
) -> SoakReport:
    """Run one soak; keep its logs under `keep` if a promise broke."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        soak = _Soak(params, folder)
        anyio.run(soak.run)
        if soak.report.broken and keep is not None:
            target = keep / f'seed-{params.seed}'
            target.mkdir(parents=True, exist_ok=True)
            for log in folder.glob('*.log'):
                (target / log.name).write_bytes(log.read_bytes())
    return soak.report
